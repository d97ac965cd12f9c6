package sprucelanding.simulation.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.runtime.eventloop.TcpConnection;

/**
 * The fleet of a soak: the governor processes and the simulated endpoints, discovery service and
 * proxies. A fleet is used only on the soak's event loop once the loop runs. Times are in
 * milliseconds.
 */
final class SoakFleet implements FleetProxy.Host, SoakGovernor.Listener {
    static final String[] ZONES = {"a", "b", "c"};

    /** The request class that stays in the proxy's zone, if the plan has one. */
    static final String OWN_ZONE_CLASS = "near";

    private static final String[] REQUEST_CLASSES = {"read", "write"};
    private static final int INITIAL_TABLE_ENTRIES = 6;
    private static final int HEALTH_CHECK_PENDING_CONNECTIONS = 256;
    private static final int MAX_CONNECT_DELAY_MS = 300;
    private static final int MIN_HANDOVER_DELAY_MS = 3000;
    private static final int HANDOVER_DELAY_RANGE_MS = 5000;
    private static final int MIN_RECONNECT_DELAY_MS = 300;
    private static final int RECONNECT_DELAY_RANGE_MS = 1200;

    private final EventLoop loop;
    private final SplittableRandom random;
    private final InvariantChecker checker;
    private final SoakEndpoints endpoints;
    private final List<SoakGovernor> governors = new ArrayList<>();
    private final List<FleetProxy> proxies = new ArrayList<>();
    private double acknowledgementLoss;
    private long joins;
    private long messages;

    /**
     * Opens the fleet's sockets without starting a process.
     *
     * @param folder folder for the governors' configurations and logs
     */
    SoakFleet(
            SoakPlan plan,
            Path folder,
            EventLoop loop,
            SplittableRandom random,
            InvariantChecker checker)
            throws IOException {
        this.loop = loop;
        this.random = random;
        this.checker = checker;
        int healthCheckPort =
                loop.localPort(
                        loop.listen(
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                                HEALTH_CHECK_PENDING_CONNECTIONS,
                                connection ->
                                        loop.register(
                                                connection,
                                                SoakGovernor.MAX_UNSENT_BYTES,
                                                new HealthCheckResponder())));
        endpoints = new SoakEndpoints(plan.endpoints(), ZONES, "127.0.0.1:" + healthCheckPort);
        for (int i = 0; i < plan.governors(); i++) {
            governors.add(new SoakGovernor(i, plan, folder, loop, endpoints, this));
        }
        List<String> ready = endpoints.ready().stream().map(SoakEndpoints.Change::uid).toList();
        for (int i = 0; i < plan.proxies(); i++) {
            proxies.add(
                    new FleetProxy(
                            i,
                            ZONES[i % ZONES.length],
                            loop,
                            this,
                            REQUEST_CLASSES,
                            drawInitialEndpoints(ready)));
            if (plan.hasOwnZoneClass()) {
                List<SoakEndpoints.Change> own = endpoints.readyIn(i % ZONES.length);
                proxies.get(i)
                        .addOwnZoneClass(
                                OWN_ZONE_CLASS,
                                own.stream().map(SoakEndpoints.Change::uid).toList());
            }
        }
    }

    private List<String> drawInitialEndpoints(List<String> ready) {
        List<String> drawn = new ArrayList<>();
        for (int i = 0; i < INITIAL_TABLE_ENTRIES; i++) {
            drawn.add(ready.get(random.nextInt(ready.size())));
        }
        return drawn;
    }

    void startGovernors() {
        governors.forEach(SoakGovernor::start);
    }

    boolean allGovernorsAnswered() {
        return governors.stream().allMatch(SoakGovernor::hasAnswered);
    }

    void connectProxies() {
        proxies.forEach(
                proxy -> loop.schedule(random.nextInt(MAX_CONNECT_DELAY_MS), proxy::connect));
    }

    List<SoakGovernor> governors() {
        return Collections.unmodifiableList(governors);
    }

    SoakEndpoints endpoints() {
        return endpoints;
    }

    /** Draws each proxy with a probability that is equal to a share. */
    List<FleetProxy> drawProxies(double share) {
        return proxies.stream().filter(proxy -> random.nextDouble() < share).toList();
    }

    /** Sets whether the proxies of a zone reach no governor. */
    void setCutOff(int zone, boolean isCutOff) {
        proxies.stream()
                .filter(proxy -> proxy.number() % ZONES.length == zone)
                .forEach(proxy -> proxy.setCutOff(isCutOff));
    }

    /** Checks, after a time without faults, that no ejection has outlived its cause. */
    void checkAtEnd() {
        double now = EventLoop.nowMillis();
        for (FleetProxy proxy : proxies) {
            if (proxy.governor().isPresent()) {
                checker.checkEjections(proxy, endpoints.ready(), now);
            }
        }
    }

    /** Sends the changes of the endpoint list to all governors. */
    void publishEndpoints() {
        governors.forEach(governor -> governor.discovery().publish());
    }

    /** Sets the probability that an acknowledgement is lost. */
    void setAcknowledgementLoss(double probability) {
        acknowledgementLoss = probability;
    }

    /** Returns the number of connections that proxies opened to governors. */
    long joins() {
        return joins;
    }

    /** Returns the number of complete messages that proxies received. */
    long messages() {
        return messages;
    }

    /** Checks the tables of all connected proxies, and whether governors have crashed. */
    void check() {
        double now = EventLoop.nowMillis();
        List<SoakEndpoints.Change> removed = endpoints.removed();
        for (FleetProxy proxy : proxies) {
            if (proxy.governor().isPresent()) {
                checkProxy(proxy, governors.get(proxy.governor().getAsInt()), removed, now);
            }
        }
        for (SoakGovernor governor : governors) {
            if (governor.hasCrashed()) {
                checker.recordCrash(governor.number());
                governor.markDown(0);
            }
        }
    }

    private void checkProxy(
            FleetProxy proxy,
            SoakGovernor governor,
            List<SoakEndpoints.Change> removed,
            double now) {
        if (governor.wasAvailableBefore(now)) {
            double upSince = governor.upSince().getAsDouble();
            boolean isOwnZoneEmpty = endpoints.readyIn(proxy.number() % ZONES.length).isEmpty();
            checker.check(proxy, governor.discovery(), removed, isOwnZoneEmpty, upSince, now);
        }
    }

    private SoakGovernor preferredGovernor(FleetProxy proxy) {
        return governors.get(proxy.number() % governors.size());
    }

    @Override
    public void governorUp(SoakGovernor governor) {
        proxies.stream()
                .filter(proxy -> preferredGovernor(proxy) == governor)
                .filter(proxy -> proxy.governor().isPresent())
                .forEach(proxy -> loop.schedule(handoverDelay(), proxy::handOver));
    }

    private double handoverDelay() {
        return MIN_HANDOVER_DELAY_MS + random.nextInt(HANDOVER_DELAY_RANGE_MS);
    }

    @Override
    public OptionalInt governorFor(FleetProxy proxy) {
        double now = EventLoop.nowMillis();
        if (proxy.isCutOff()) {
            return OptionalInt.empty();
        }
        List<SoakGovernor> available =
                governors.stream().filter(governor -> governor.wasAvailableBefore(now)).toList();
        SoakGovernor preferred = preferredGovernor(proxy);
        if (available.contains(preferred)) {
            return OptionalInt.of(preferred.number());
        }
        return available.isEmpty()
                ? OptionalInt.empty()
                : OptionalInt.of(available.get(random.nextInt(available.size())).number());
    }

    @Override
    public TcpConnection connect(int governor, TcpConnection.Listener listener) {
        joins++;
        return governors.get(governor).connect(listener);
    }

    @Override
    public Channel channel(int governor) {
        return governors.get(governor).channel();
    }

    @Override
    public boolean dropsAcknowledgement() {
        return random.nextDouble() < acknowledgementLoss;
    }

    @Override
    public void messageReceived(FleetProxy proxy, int governor, int entries) {
        messages++;
        double backlogEntries = governors.get(governor).channel().backlogEntries() + entries;
        checker.checkMessage(proxy, governor, backlogEntries, EventLoop.nowMillis());
    }

    @Override
    public double reconnectDelay() {
        return MIN_RECONNECT_DELAY_MS + random.nextInt(RECONNECT_DELAY_RANGE_MS);
    }
}
