package sprucelanding.control.decision;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Host without I/O for tests. The host records the orders of the controller, fires the timers and
 * answers the health checks.
 */
final class FakeControllerHost implements ControllerOutput {
    final RoutingController controller;
    final List<String> log = new ArrayList<>();
    final List<String> orders = new ArrayList<>();
    final Map<Integer, Map<Long, Double>> weightsByTable = new TreeMap<>();
    final Map<Integer, Double> admittedByClass = new TreeMap<>();
    final Map<Integer, Integer> retryPolicyByClass = new TreeMap<>();
    final Map<Integer, Integer> boundClassesByProxy = new TreeMap<>();

    /** The table that each proxy was last bound to. */
    final Map<Integer, Integer> tableByProxy = new TreeMap<>();

    final List<Long> pendingChecks = new ArrayList<>();
    final TreeMap<Double, List<Integer>> timers = new TreeMap<>();

    /** Results of health checks by endpoint. The checks of all other endpoints pass. */
    final Map<Long, HealthCheckResult> failingChecks = new LinkedHashMap<>();

    /**
     * Whether proxies acknowledge messages. Each proxy acknowledges a message when the next message
     * is sent.
     */
    boolean acknowledgesMessages;

    /** What the host does in addition when a proxy is bound. */
    Runnable onBind = () -> {};

    int lastAcknowledgementRequest;
    private Set<Integer> messagedProxies = new TreeSet<>();
    private Set<Integer> previouslyMessagedProxies = Set.of();
    int endpointListWatchCount;
    int messageCount;
    private boolean hasSentMessage;
    private double lastMessageTime;
    double now = 1_000_000;

    FakeControllerHost(AdmissionMode admission, int messageLimit, RequestClass... requestClasses) {
        controller = new RoutingController(new SplittableRandom(7), requestClasses, 3, admission);
        controller.configureChannel(3, 6, 5000, messageLimit, 10_000);
        controller.configureReports(true, 1000);
        controller.setTime(now);
    }

    static RequestClass requestClass(int index, boolean idempotent, double revenue) {
        return new RequestClass(index, idempotent, revenue, 800, new BitSet(), new BitSet(), false);
    }

    /**
     * Creates a host with endpoints 1 to n in three zones, and one proxy that gets 100 requests per
     * second.
     */
    static FakeControllerHost withEndpoints(int endpoints) {
        FakeControllerHost host =
                new FakeControllerHost(
                        AdmissionMode.SHARE,
                        0,
                        requestClass(0, true, 1),
                        requestClass(1, false, 2));
        host.controller.configureEndpointList(true, false, 0.2, 16_000);
        host.listEndpoints(true, endpoints);
        host.controller.proxyJoined(9, 0, 100, true);
        host.decideAll();
        return host;
    }

    /** Creates a host with many endpoints, and many proxies that have just joined. */
    static FakeControllerHost large(boolean acknowledges, int endpoints, int proxies) {
        FakeControllerHost host =
                new FakeControllerHost(
                        AdmissionMode.SHARE,
                        0,
                        requestClass(0, true, 1),
                        requestClass(1, false, 2));
        host.acknowledgesMessages = acknowledges;
        host.controller.configureEndpointList(true, false, 0.2, 16_000);
        host.listEndpoints(true, endpoints);
        for (int id = 0; id < proxies; id++) {
            host.controller.proxyJoined(id, 0, 10, true);
        }
        host.decideAll();
        return host;
    }

    /** Creates a host that may send at most twelve messages to a proxy within ten seconds. */
    static FakeControllerHost withMessageLimit() {
        FakeControllerHost host =
                new FakeControllerHost(AdmissionMode.SHARE, 12, requestClass(0, true, 1));
        host.controller.configureEndpointList(true, false, 0.2, 16_000);
        host.listEndpoints(true, 9);
        host.controller.proxyJoined(9, 0, 100, true);
        host.decideAll();
        return host;
    }

    /** Alternates endpoint 9 between draining and available, with four changes per second. */
    void flapEndpoint(int times) {
        for (int i = 0; i < times; i++) {
            now += 250;
            controller.setTime(now);
            changeEndpoint(9, 0, i % 2 == 0 ? EndpointState.DRAINING : EndpointState.AVAILABLE);
            controller.healthCheckCompleted(9, HealthCheckResult.OK, Double.NaN);
            controller.timerFired(1);
            decideAll();
        }
    }

    void listEndpoints(boolean first, int endpoints) {
        controller.endpointListStarted(true, first);
        for (int id = 1; id <= endpoints; id++) {
            controller.endpointListed(id, id % 3, 0, 1, 0, EndpointState.AVAILABLE);
        }
        controller.endpointListCompleted();
    }

    void changeEndpoint(long id, double startedAt, EndpointState state) {
        controller.endpointListStarted(false, false);
        controller.endpointListed(id, (int) (id % 3), 0, 1, startedAt, state);
        controller.endpointListCompleted();
        decideAll();
    }

    /** Reports the load and the number of attempts, all successful, for endpoints 1 to n. */
    void reportHealthy(int endpoints, double load, int attempts) {
        for (long id = 1; id <= endpoints; id++) {
            controller.endpointStatsReported(id, attempts, 0, load < 1 ? 200 : 700, load);
        }
        controller.demandReported(9, 0, 60, 1000);
        controller.demandReported(9, 1, 40, 1000);
    }

    /** Calls the controller until there are no more decisions. */
    void decideAll() {
        hasSentMessage = false;
        for (int i = 0; controller.decide(this); i++) {
            if (i > 10_000) {
                throw new AssertionError("more than 10000 decisions for one event");
            }
        }
        messageCount += hasSentMessage && now > lastMessageTime ? 1 : 0;
        lastMessageTime = hasSentMessage ? now : lastMessageTime;
    }

    /** Advances the time by the given number of seconds, and runs the reports once per second. */
    void runSeconds(int seconds, Runnable reports) {
        double end = now + seconds * 1000.0;
        for (double second = now + 1000; second <= end; second += 1000) {
            while (!timers.isEmpty() && timers.firstKey() < second) {
                fireTimers();
            }
            now = second;
            controller.setTime(now);
            reports.run();
            decideAll();
        }
    }

    private void fireTimers() {
        now = Math.max(now, timers.firstKey());
        controller.setTime(now);
        timers.pollFirstEntry().getValue().forEach(controller::timerFired);
        decideAll();
        List<Long> requestedChecks = List.copyOf(pendingChecks);
        pendingChecks.clear();
        for (long id : requestedChecks) {
            HealthCheckResult result = failingChecks.getOrDefault(id, HealthCheckResult.OK);
            controller.healthCheckCompleted(id, result, Double.NaN);
        }
        decideAll();
    }

    double weight(long id) {
        return weightsByTable.get(0).getOrDefault(id, 0.0);
    }

    boolean hasLogged(String part) {
        return log.stream().anyMatch(line -> line.contains(part));
    }

    @Override
    public void setWeight(int table, Endpoint endpoint, double weight) {
        if (!(weight >= 0) || Double.isInfinite(weight)) {
            throw new AssertionError("weight " + weight);
        }
        orders.add("weight");
        hasSentMessage = true;
        messageUsersOf(table);
        weightsByTable.computeIfAbsent(table, t -> new TreeMap<>()).put(endpoint.id, weight);
    }

    @Override
    public void clearTable(int table) {
        weightsByTable.remove(table);
    }

    @Override
    public void setAdmission(
            int table, RequestClass requestClass, double admitted, int retryPolicy) {
        hasSentMessage = true;
        messageUsersOf(table);
        admittedByClass.put(requestClass.index, admitted);
        retryPolicyByClass.put(requestClass.index, retryPolicy);
    }

    @Override
    public void bindProxy(int table, Proxy proxy, BitSet requestClasses) {
        orders.add("bind");
        hasSentMessage = true;
        tableByProxy.put(proxy.id, table);
        messagedProxies.add(proxy.id);
        boundClassesByProxy.merge(proxy.id, (int) requestClasses.toLongArray()[0], (a, b) -> a | b);
        onBind.run();
    }

    @Override
    public void requestAcknowledgement(int acknowledgement) {
        lastAcknowledgementRequest = acknowledgement;
        if (acknowledgesMessages) {
            previouslyMessagedProxies.forEach(
                    proxy -> controller.acknowledged(acknowledgement - 1));
        }
        previouslyMessagedProxies = messagedProxies;
        messagedProxies = new TreeSet<>();
    }

    private void messageUsersOf(int table) {
        tableByProxy.forEach(
                (proxy, boundTable) -> {
                    if (boundTable == table) {
                        messagedProxies.add(proxy);
                    }
                });
    }

    @Override
    public void checkHealth(Endpoint endpoint) {
        pendingChecks.add(endpoint.id);
    }

    @Override
    public void watchEndpointList() {
        endpointListWatchCount++;
    }

    @Override
    public void setTimer(int tag, double at) {
        timers.computeIfAbsent(at, t -> new ArrayList<>()).add(tag);
    }

    @Override
    public void log(DecisionEvent event) {
        log.add(event.text());
    }

    @Override
    public void setEjected(Endpoint endpoint, boolean ejected) {
        orders.add((ejected ? "eject " : "restore ") + endpoint.id);
    }

    @Override
    public void sendToPeers(byte[] note) {
        throw new AssertionError("unexpected message to other governors");
    }
}
