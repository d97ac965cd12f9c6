package sprucelanding.control.distribution;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.IntPredicate;
import sprucelanding.control.decision.AdmissionMode;
import sprucelanding.control.decision.DecisionEvent;
import sprucelanding.control.decision.Endpoint;
import sprucelanding.control.decision.EndpointState;
import sprucelanding.control.decision.HealthCheckResult;
import sprucelanding.control.decision.RequestClass;
import sprucelanding.control.decision.RoutingController;

/**
 * A governor's decisions and a fleet in virtual time. Messages leave one after the other at the
 * rate of the channel, arrive after a random transit time and are acknowledged. The fleet checks
 * the limit of messages and the drain grace; the violations are collected as texts.
 */
final class LimitedFleet extends DistributorOutput {
    /** Period in which the messages to a proxy are counted, ms. */
    static final double SPAN_MS = 10_000;

    /** Cost of a message in addition to its entries. */
    static final double MESSAGE_OVERHEAD = 6;

    static final int ZONES = 3;
    private static final double START_MS = 1_000_000;
    private static final double TICK_MS = 5;
    private static final double WARM_UP_MS = 18_000;
    private static final double COLD_SHARE = 0.31;
    private static final double REPORT_INTERVAL_MS = 1000;

    /**
     * The figures of a site.
     *
     * @param messageLimit largest number of messages to a proxy within {@link #SPAN_MS}
     * @param graceMillis time within which proxies must stop sending to a removed endpoint
     * @param transitMillis longest time that a message takes after it has left the channel
     * @param entriesPerMilli rate of the channel
     * @param isOwnZoneOnly by request class, whether requests stay in the zone of the proxy
     */
    record Site(
            int endpoints,
            int proxies,
            int messageLimit,
            double graceMillis,
            double transitMillis,
            double entriesPerMilli,
            boolean hasHealthChecks,
            boolean... isOwnZoneOnly) {}

    private record Violation(int proxy, String text) {}

    private record Event(double time, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Double.compare(time, other.time);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    final RoutingController controller;
    private final List<Violation> violations = new ArrayList<>();
    private final Site site;
    private final SplittableRandom random;
    private final TableDistributor distributor;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final TreeMap<Integer, FleetProxy> proxies = new TreeMap<>();

    /** Times of removal of the endpoints that are draining, ms. */
    private final Map<Long, Double> removedAt = new LinkedHashMap<>();

    private final Map<Long, Double> startedAt = new HashMap<>();
    private final Map<Long, Integer> zones = new HashMap<>();
    private final Map<Long, EndpointState> states = new LinkedHashMap<>();
    private long sequence;
    private double now = START_MS;
    private double channelFreeAt;
    private boolean isDecisionDue;
    private double lastDecision = Double.NEGATIVE_INFINITY;
    private int mostMessages;

    LimitedFleet(Site site, long seed) {
        this(
                site,
                seed,
                new TableDistributor(
                        site.isOwnZoneOnly.length,
                        Endpoint::mayBeEjectedElsewhere,
                        Endpoint::isAvailable));
    }

    private LimitedFleet(Site site, long seed, TableDistributor distributor) {
        super(distributor);
        this.distributor = distributor;
        this.site = site;
        random = new SplittableRandom(seed);
        int classes = site.isOwnZoneOnly.length;
        RequestClass[] requestClasses = new RequestClass[classes];
        for (int i = 0; i < classes; i++) {
            requestClasses[i] =
                    new RequestClass(
                            i,
                            i == 0,
                            1 + i,
                            750,
                            new BitSet(),
                            new BitSet(),
                            site.isOwnZoneOnly[i]);
        }
        controller =
                new RoutingController(
                        new SplittableRandom(seed), requestClasses, ZONES, AdmissionMode.SHARE);
        configure();
        for (long id = 1; id <= site.endpoints; id++) {
            zones.put(id, (int) (id % ZONES));
            states.put(id, EndpointState.AVAILABLE);
        }
        at(0, () -> list(true, List.copyOf(states.keySet())));
        for (int id = 0; id < site.proxies; id++) {
            int proxy = id;
            at(1, () -> join(proxy));
        }
        at(REPORT_INTERVAL_MS, this::report);
    }

    private void configure() {
        controller.configureKeptEjections();
        controller.configureHeldUpdates();
        controller.configureEndpointList(true, false, COLD_SHARE, WARM_UP_MS);
        controller.configureChannel(
                site.entriesPerMilli, MESSAGE_OVERHEAD, 5000, site.messageLimit, SPAN_MS);
        controller.configureFleet(site.proxies, 1, site.graceMillis, site.transitMillis);
        controller.configureReports(site.hasHealthChecks, REPORT_INTERVAL_MS);
        controller.setTime(now);
    }

    /** Schedules an action, in ms from the start. */
    void at(double millis, Runnable action) {
        events.add(new Event(START_MS + millis, sequence++, action));
    }

    private void after(double millis, Runnable action) {
        at(now - START_MS + millis, action);
    }

    /** Runs the fleet until the given time, in ms from the start. */
    void runUntil(double millis) {
        while (!events.isEmpty() && events.peek().time <= START_MS + millis) {
            Event event = events.poll();
            now = Math.max(now, event.time);
            event.action.run();
        }
    }

    List<String> violations() {
        return violationsAt(proxy -> true);
    }

    List<String> violationsAt(IntPredicate isCounted) {
        return violations.stream()
                .filter(violation -> isCounted.test(violation.proxy))
                .map(Violation::text)
                .toList();
    }

    /** Returns the largest number of messages to a proxy within the span. */
    int mostMessages() {
        return mostMessages;
    }

    /** Starts an input to the controller and schedules a decision, at most one a tick. */
    private RoutingController input() {
        controller.setTime(now);
        if (!isDecisionDue) {
            isDecisionDue = true;
            double due = Math.max(now, lastDecision + TICK_MS);
            events.add(new Event(due, sequence++, this::decide));
        }
        return controller;
    }

    private void decide() {
        isDecisionDue = false;
        lastDecision = now;
        controller.setTime(now);
        while (controller.decide(this)) {
            continue;
        }
        distributor.flush(controller::holdsUpdates, this::write);
    }

    // Endpoints.

    /** Removes an endpoint and adds its cold successor in the same change of the list. */
    void replace(long id, long successor) {
        zones.put(successor, zones.get(id));
        startedAt.put(successor, now);
        states.put(successor, EndpointState.AVAILABLE);
        remove(id);
        list(false, List.of(id, successor));
    }

    private void remove(long id) {
        states.put(id, EndpointState.DRAINING);
        removedAt.put(id, now);
        for (int proxy : proxies.keySet()) {
            checkDrainLater(proxy, id);
        }
    }

    private void list(boolean isFirst, Collection<Long> ids) {
        RoutingController input = input();
        input.endpointListStarted(isFirst, isFirst);
        for (long id : ids) {
            input.endpointListed(
                    id, zones.get(id), 0, 1, startedAt.getOrDefault(id, 0.0), states.get(id));
        }
        input.endpointListCompleted();
    }

    private void report() {
        RoutingController input = input();
        states.forEach(
                (id, state) -> {
                    if (state == EndpointState.AVAILABLE) {
                        double load = random.nextDouble(0.2, 0.7);
                        input.endpointStatsReported(id, 20, 0, 120, load);
                    }
                });
        proxies.forEach(
                (id, proxy) -> {
                    for (int i = 0; proxy.isJoined && i < site.isOwnZoneOnly.length; i++) {
                        input.demandReported(id, i, 10, REPORT_INTERVAL_MS);
                    }
                });
        after(REPORT_INTERVAL_MS, this::report);
    }

    // Proxies.

    /** Begins a stream of a proxy, which keeps what it holds. */
    void join(int id) {
        FleetProxy proxy =
                proxies.computeIfAbsent(id, key -> new FleetProxy(site.isOwnZoneOnly.length));
        boolean withoutTables = proxy.hasNoTables();
        proxy.join(now);
        distributor.proxyJoined(id, withoutTables);
        input().proxyJoined(id, id % ZONES, 20, withoutTables);
        removedAt.keySet().forEach(endpoint -> checkDrainLater(id, endpoint));
    }

    /**
     * Ends the stream of a proxy. What is still on its way is lost, or has been read without an
     * acknowledgement.
     */
    void leave(int id) {
        FleetProxy proxy = proxies.get(id);
        if (random.nextBoolean()) {
            proxy.inFlight.forEach(proxy::apply);
        }
        proxy.leave();
        distributor.proxyLeft(id);
        input().proxyLeft(id);
    }

    /** Ends the stream of a proxy and begins another one later. */
    void rejoin(int id, double awayMillis) {
        if (proxies.get(id).isJoined) {
            leave(id);
            after(awayMillis, () -> join(id));
        }
    }

    private void checkDrainLater(int id, long endpoint) {
        FleetProxy proxy = proxies.get(id);
        int stream = proxy.stream;
        double deadline = Math.max(proxy.joinedAt, removedAt.get(endpoint)) + site.graceMillis;
        events.add(
                new Event(
                        deadline,
                        sequence++,
                        () -> {
                            if (proxy.stream == stream && proxy.isJoined && proxy.holds(endpoint)) {
                                violations.add(
                                        new Violation(
                                                id,
                                                "drain: proxy %d holds endpoint %d at %.0f ms"
                                                        .formatted(id, endpoint, now - START_MS)));
                            }
                        }));
    }

    private void write(ProxyUpdate update) {
        FleetProxy proxy = proxies.get(update.proxyId());
        countMessage(update.proxyId(), proxy);
        double cost = MESSAGE_OVERHEAD + update.entryCost();
        channelFreeAt = Math.max(channelFreeAt, now) + cost / site.entriesPerMilli;
        double transit = random.nextDouble(0.1, 1) * site.transitMillis;
        proxy.lastArrival = Math.max(proxy.lastArrival, channelFreeAt + transit);
        int stream = proxy.stream;
        proxy.inFlight.addLast(update);
        events.add(
                new Event(
                        proxy.lastArrival,
                        sequence++,
                        () -> {
                            if (proxy.stream == stream) {
                                apply(proxy, proxy.inFlight.removeFirst());
                            }
                        }));
    }

    private void countMessage(int id, FleetProxy proxy) {
        int messages = proxy.messageWritten(now, SPAN_MS);
        mostMessages = Math.max(mostMessages, messages);
        if (site.messageLimit > 0 && messages > site.messageLimit) {
            violations.add(
                    new Violation(
                            id,
                            "limit: %d messages to proxy %d at %.0f ms"
                                    .formatted(messages, id, now - START_MS)));
        }
    }

    private void apply(FleetProxy proxy, ProxyUpdate update) {
        proxy.apply(update);
        if (update.acknowledgementId() != ProxyUpdate.NO_ACKNOWLEDGEMENT) {
            input().acknowledged(update.proxyId(), update.acknowledgementId());
        }
    }

    // Orders of the controller that do not concern tables.

    @Override
    public void checkHealth(Endpoint endpoint) {
        after(
                TICK_MS,
                () -> input().healthCheckCompleted(endpoint.id, HealthCheckResult.OK, Double.NaN));
    }

    @Override
    public void sendToPeers(byte[] message) {
        throw new AssertionError("governors on the platform do not exchange messages");
    }

    @Override
    public void watchEndpointList() {
        throw new AssertionError("the list is pushed");
    }

    @Override
    public void setTimer(int tag, double time) {
        events.add(new Event(time, sequence++, () -> input().timerFired(tag)));
    }

    @Override
    public void log(DecisionEvent event) {
        // the log is not part of what proxies see
    }
}
