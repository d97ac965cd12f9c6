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

/** A tiny host: it keeps what it is ordered, rings the bells and answers the probes. */
final class FakeControllerHost implements ControllerOutput {
    final RoutingController controller;
    final List<String> log = new ArrayList<>();
    final List<String> orders = new ArrayList<>();
    final Map<Integer, Map<Long, Double>> tables = new TreeMap<>();
    final Map<Integer, Double> admittedByClass = new TreeMap<>();
    final Map<Integer, Integer> retryPolicyByClass = new TreeMap<>();
    final Map<Integer, Integer> boundClassesByProxy = new TreeMap<>();

    /** By proxy, the table it was last put on. */
    final Map<Integer, Integer> tableByProxy = new TreeMap<>();

    final List<Long> pendingChecks = new ArrayList<>();
    final TreeMap<Double, List<Integer>> timers = new TreeMap<>();

    /** Replicas whose probes get this answer; all others answer well. */
    final Map<Long, HealthCheckResult> failingChecks = new LinkedHashMap<>();

    /**
     * Whether receipts come: those of the message before, each time, from every proxy that it went
     * to.
     */
    boolean acknowledgesMessages;

    int lastAcknowledgementRequest;
    private Set<Integer> messagedProxies = new TreeSet<>();
    private Set<Integer> previouslyMessagedProxies = Set.of();
    int endpointListWatches;
    int messages;
    private boolean messageWritten;
    private double lastMessageTime;
    double now = 1_000_000;

    FakeControllerHost(AdmissionMode admission, int messageCap, RequestClass... requestClasses) {
        controller = new RoutingController(new SplittableRandom(7), requestClasses, 3, admission);
        controller.configureChannel(3, 6, 5000, messageCap, 10_000);
        controller.configureReports(true, 1000);
        controller.setTime(now);
    }

    static RequestClass requestClass(int index, boolean inquiryLike, double revenue) {
        return new RequestClass(
                index, inquiryLike, revenue, 800, new BitSet(), new BitSet(), false);
    }

    /**
     * A usual site: replicas 1 to n, dealt to three zones, and one proxy with 100 txns a second.
     */
    static FakeControllerHost ordinary(int n) {
        FakeControllerHost host =
                new FakeControllerHost(
                        AdmissionMode.SHARE,
                        0,
                        requestClass(0, true, 1),
                        requestClass(1, false, 2));
        host.controller.configureEndpointList(true, false, 0.2, 16_000);
        host.listEndpoints(true, n);
        host.controller.proxyJoined(9, 0, 100, true);
        host.settle();
        return host;
    }

    /** A large one: many replicas, and many proxies that have just joined. */
    static FakeControllerHost large(boolean drains, int replicas, int proxies) {
        FakeControllerHost host =
                new FakeControllerHost(
                        AdmissionMode.SHARE,
                        0,
                        requestClass(0, true, 1),
                        requestClass(1, false, 2));
        host.acknowledgesMessages = drains;
        host.controller.configureEndpointList(true, false, 0.2, 16_000);
        host.listEndpoints(true, replicas);
        for (int id = 0; id < proxies; id++) {
            host.controller.proxyJoined(id, 0, 10, true);
        }
        host.settle();
        return host;
    }

    void listEndpoints(boolean first, int n) {
        controller.endpointListStarted(true, first);
        for (int id = 1; id <= n; id++) {
            controller.endpointListed(id, id % 3, 0, 1, 0, EndpointState.AVAILABLE);
        }
        controller.endpointListCompleted();
    }

    void changeEndpoint(long id, double startedAt, EndpointState stage) {
        controller.endpointListStarted(false, false);
        controller.endpointListed(id, (int) (id % 3), 0, 1, startedAt, stage);
        controller.endpointListCompleted();
        settle();
    }

    /** Pulls decisions until there is none. */
    void settle() {
        messageWritten = false;
        for (int i = 0; controller.decide(this); i++) {
            if (i > 10_000) {
                throw new AssertionError("decisions without end");
            }
        }
        messages += messageWritten && now > lastMessageTime ? 1 : 0;
        lastMessageTime = messageWritten ? now : lastMessageTime;
    }

    /** Lets time pass; at each second the story's reports come in. */
    void run(int seconds, Runnable reports) {
        double end = now + seconds * 1000.0;
        for (double second = now + 1000; second <= end; second += 1000) {
            while (!timers.isEmpty() && timers.firstKey() < second) {
                fireTimers();
            }
            now = second;
            controller.setTime(now);
            reports.run();
            settle();
        }
    }

    private void fireTimers() {
        now = Math.max(now, timers.firstKey());
        controller.setTime(now);
        timers.pollFirstEntry().getValue().forEach(controller::timerFired);
        settle();
        List<Long> asked = List.copyOf(pendingChecks);
        pendingChecks.clear();
        for (long id : asked) {
            HealthCheckResult answer = failingChecks.getOrDefault(id, HealthCheckResult.OK);
            controller.healthCheckCompleted(id, answer, Double.NaN);
        }
        settle();
    }

    double weight(long id) {
        return tables.get(0).getOrDefault(id, 0.0);
    }

    boolean logged(String part) {
        return log.stream().anyMatch(line -> line.contains(part));
    }

    @Override
    public void setWeight(int table, Endpoint endpoint, double weight) {
        if (!(weight >= 0) || Double.isInfinite(weight)) {
            throw new AssertionError("weight " + weight);
        }
        orders.add("line");
        messageWritten = true;
        messageUsersOf(table);
        tables.computeIfAbsent(table, t -> new TreeMap<>()).put(endpoint.id, weight);
    }

    @Override
    public void clearTable(int table) {
        tables.remove(table);
    }

    @Override
    public void setAdmission(int table, RequestClass requestClass, double letIn, int retry) {
        messageWritten = true;
        messageUsersOf(table);
        admittedByClass.put(requestClass.index, letIn);
        retryPolicyByClass.put(requestClass.index, retry);
    }

    @Override
    public void bindProxy(int table, Proxy proxy, BitSet products) {
        orders.add("bind");
        messageWritten = true;
        tableByProxy.put(proxy.id, table);
        messagedProxies.add(proxy.id);
        boundClassesByProxy.merge(proxy.id, (int) products.toLongArray()[0], (a, b) -> a | b);
    }

    @Override
    public void requestAcknowledgement(int serial) {
        lastAcknowledgementRequest = serial;
        if (acknowledgesMessages) {
            previouslyMessagedProxies.forEach(proxy -> controller.acknowledged(serial - 1));
        }
        previouslyMessagedProxies = messagedProxies;
        messagedProxies = new TreeSet<>();
    }

    private void messageUsersOf(int table) {
        tableByProxy.forEach(
                (proxy, place) -> {
                    if (place == table) {
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
        endpointListWatches++;
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
    public void setEjected(Endpoint endpoint, boolean out) {
        orders.add((out ? "bar " : "lift ") + endpoint.id);
    }

    @Override
    public void sendToPeers(byte[] note) {
        throw new AssertionError("not used");
    }
}
