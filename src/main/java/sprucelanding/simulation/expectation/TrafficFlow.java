package sprucelanding.simulation.expectation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import sprucelanding.config.governor.GovernorComponents;
import sprucelanding.config.governor.GovernorConfig;
import sprucelanding.control.core.DirectInput;
import sprucelanding.control.core.GovernorCore;
import sprucelanding.control.core.InputListener;
import sprucelanding.control.decision.HealthCheckResult;
import sprucelanding.control.decision.RoutingController;
import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.delivery.ResourceName;
import sprucelanding.control.delivery.ResourceType;
import sprucelanding.control.delivery.ResourceUpdate;
import sprucelanding.control.delivery.RoutingResource;
import sprucelanding.control.discovery.ListedEndpoint;
import sprucelanding.control.loadreport.LoadReport;
import sprucelanding.simulation.scenario.Scenario;

/**
 * A fleet in which traffic is a flow: each proxy's demand is parted as its tables say, and replicas
 * tell the loads that come of it. One governor decides, with the module, delivery and list of the
 * service. The same story gives the same tables.
 */
final class TrafficFlow implements GovernorCore.Host {
    private static final double START_MILLIS = 1_000_000;
    private static final int PROXIES_PER_ZONE = 2; // proxies
    private static final double MAX_UTILIZATION = 0.98;

    private record ScheduledTask(double at, long sequence, Runnable task)
            implements Comparable<ScheduledTask> {
        @Override
        public int compareTo(ScheduledTask other) {
            return at != other.at
                    ? Double.compare(at, other.at)
                    : Long.compare(sequence, other.sequence);
        }
    }

    /** A replica as it truly is. */
    static final class FlowEndpoint {
        final int position;
        final long id;
        final int zone;
        final int kind;
        final double capacity; // ms of work a ms
        boolean up = true;
        boolean draining;
        double forcedUtilization; // util that it tells in place of its own
        double startedAt;
        double utilization;

        FlowEndpoint(int position, int zone, int kind, double capacity) {
            this.position = position;
            this.id = 1000 + position;
            this.zone = zone;
            this.kind = kind;
            this.capacity = capacity;
        }

        boolean isReady() {
            return up && !draining;
        }
    }

    private static final class FlowProxy {
        final int number;
        final int zone;
        ProxyStream stream;
        final Map<Integer, Map<Long, Integer>> tables = new TreeMap<>();
        final Map<Integer, RoutingResource.RouteRule> rulesByRequestClass = new TreeMap<>();
        final Map<ResourceName, String> heldVersions = new LinkedHashMap<>();

        FlowProxy(int number, int zone) {
            this.number = number;
            this.zone = zone;
        }
    }

    final Scenario scenario;
    final List<FlowEndpoint> endpoints = new ArrayList<>();
    final List<String> log = new ArrayList<>();
    private final GovernorConfig config;
    private final List<FlowProxy> proxies = new ArrayList<>();
    private final PriorityQueue<ScheduledTask> scheduledTasks = new PriorityQueue<>();
    private final Map<Long, FlowEndpoint> endpointsById = new HashMap<>();
    private GovernorCore core;
    private int incarnation;
    private long sequence;
    private long version;
    private double now = START_MILLIS;
    private double requestRateFactor = 1;
    int internalErrors;

    TrafficFlow(Scenario scenario, GovernorConfig config) {
        this.scenario = scenario;
        this.config = config;
        int zones = scenario.zones().size();
        for (int i = 0; i < scenario.replicas().count(); i++) {
            Scenario.EndpointKind endpointKind = scenario.kinds().get(scenario.endpointKind(i));
            FlowEndpoint endpoint =
                    new FlowEndpoint(
                            i,
                            i % zones,
                            scenario.endpointKind(i),
                            endpointKind.cores() * endpointKind.speed());
            endpoints.add(endpoint);
            endpointsById.put(endpoint.id, endpoint);
        }
        for (int i = 0; i < zones * PROXIES_PER_ZONE; i++) {
            proxies.add(new FlowProxy(i, i % zones));
        }
        startGovernor();
        tick();
    }

    /** The governor's process begins, and its proxies dial with what they hold. */
    private void startGovernor() {
        incarnation++;
        RoutingController controller = GovernorComponents.controller(config);
        core =
                GovernorComponents.core(
                        config,
                        this,
                        controller,
                        new DirectInput(controller),
                        InputListener.NONE,
                        0);
        core.start(null, true, config.reports().every());
        sendEndpointList();
        for (FlowProxy proxy : proxies) {
            proxy.stream = new ProxyStream(proxy.number, ProxyStream.UpdateMode.CHANGES, proxy);
            ProxyStream stream = proxy.stream;
            core.proxyConnected(
                    proxy,
                    stream,
                    "proxy-" + proxy.number,
                    scenario.zones().get(proxy.zone),
                    expectedLoad(),
                    proxy.heldVersions.isEmpty());
            core.heldVersionsReported(stream, Map.copyOf(proxy.heldVersions));
            for (ResourceType kind : ResourceType.values()) {
                core.subscriptionChanged(stream, kind, 0, true);
            }
            proxy.tables
                    .keySet()
                    .forEach(
                            table -> {
                                core.subscriptionChanged(
                                        stream, ResourceType.ENDPOINTS, table, true);
                                core.subscriptionChanged(stream, ResourceType.LINE, table, true);
                            });
        }
        core.processBatch();
    }

    private double expectedLoad() {
        return scenario.txns() * requestRateFactor / proxies.size();
    }

    /** The whole list, as the roster would tell it. */
    private void sendEndpointList() {
        StringBuilder text =
                new StringBuilder("{\"version\":" + ++version + ",\"whole\":true,\"servers\":[");
        for (FlowEndpoint endpoint : endpoints) {
            if (endpoint.up) {
                text.append(text.charAt(text.length() - 1) == '[' ? "" : ",")
                        .append("{\"id\":")
                        .append(endpoint.id)
                        .append(",\"at\":\"127.0.0.1:")
                        .append(10_000 + endpoint.position)
                        .append("\",\"zone\":\"")
                        .append(scenario.zones().get(endpoint.zone))
                        .append("\",\"kind\":\"")
                        .append(scenario.kinds().get(endpoint.kind).name())
                        .append("\",\"weight\":1,\"started\":")
                        .append((long) endpoint.startedAt)
                        .append(",\"stage\":\"")
                        .append(endpoint.draining ? "draining" : "ready")
                        .append("\"}");
            }
        }
        if (!core.endpointListReceived(text.append("]}").toString())) {
            throw new IllegalStateException("the list is refused");
        }
    }

    // What happens.

    void apply(String event, List<FlowEndpoint> affected, double size) {
        switch (event) {
            case "dies", "zoneLost" -> {
                affected.forEach(endpoint -> endpoint.up = false);
                double noticeDelay = scenario.roster().notices();
                schedule(now + noticeDelay, this::sendEndpointList);
            }
            case "drains" -> {
                affected.forEach(endpoint -> endpoint.draining = true);
                sendEndpointList();
            }
            case "returns", "zoneReturns" -> {
                affected.forEach(
                        endpoint -> {
                            endpoint.up = true;
                            endpoint.draining = false;
                            endpoint.startedAt = now;
                        });
                schedule(now + scenario.roster().adds(), this::sendEndpointList);
            }
            case "busy" -> affected.forEach(endpoint -> endpoint.forcedUtilization = size);
            case "more" -> requestRateFactor = size;
            case "restarts" -> startGovernor();
            default -> throw new IllegalArgumentException(event);
        }
        core.processBatch();
    }

    void advance(double durationMillis) {
        double end = now + durationMillis;
        while (!scheduledTasks.isEmpty() && scheduledTasks.peek().at <= end) {
            ScheduledTask next = scheduledTasks.poll();
            now = Math.max(now, next.at);
            next.task.run();
            core.processBatch();
        }
        now = end;
    }

    // The flow.

    /** A proxy's parts of a product, by replica; they add up to 1, or are none. */
    private Map<Long, Double> trafficShares(FlowProxy proxy, int requestClass) {
        RoutingResource.RouteRule rule = proxy.rulesByRequestClass.get(requestClass);
        Map<Long, Integer> weights =
                rule == null ? Map.of() : proxy.tables.getOrDefault(rule.table(), Map.of());
        double sum = weights.values().stream().mapToInt(weight -> weight).sum();
        Map<Long, Double> shares = new HashMap<>();
        weights.forEach((id, weight) -> shares.put(id, weight / sum));
        return shares;
    }

    private double admittedShare(FlowProxy proxy, int requestClass) {
        RoutingResource.RouteRule rule = proxy.rulesByRequestClass.get(requestClass);
        return rule == null ? 1 : Math.min(1, rule.admittedLevel());
    }

    private void tick() {
        double[] load = new double[endpoints.size()];
        for (FlowProxy proxy : proxies) {
            for (int requestClass = 0; requestClass < scenario.products().size(); requestClass++) {
                Scenario.RequestClassSettings requestClassSettings =
                        scenario.products().get(requestClass);
                double workMillisPerMillis =
                        expectedLoad()
                                / 1000
                                * requestClassSettings.part()
                                * requestClassSettings.work()
                                * admittedShare(proxy, requestClass);
                trafficShares(proxy, requestClass)
                        .forEach(
                                (id, part) ->
                                        load[endpointsById.get(id).position] +=
                                                workMillisPerMillis * part);
            }
        }
        for (FlowEndpoint endpoint : endpoints) {
            double target = Math.min(1, load[endpoint.position] / endpoint.capacity);
            endpoint.utilization =
                    endpoint.forcedUtilization > 0
                            ? endpoint.forcedUtilization
                            : endpoint.utilization + (target - endpoint.utilization) / 2;
        }
        double interval = config.reports().every();
        for (FlowProxy proxy : proxies) {
            List<LoadReport.EndpointStats> endpointStats = new ArrayList<>();
            List<Long> demand = new ArrayList<>();
            Map<Long, long[]> attempts = new TreeMap<>();
            for (int requestClass = 0; requestClass < scenario.products().size(); requestClass++) {
                double requests =
                        expectedLoad()
                                * scenario.products().get(requestClass).part()
                                * interval
                                / 1000;
                demand.add(Math.round(requests));
                double admitted = requests * admittedShare(proxy, requestClass);
                trafficShares(proxy, requestClass)
                        .forEach(
                                (id, part) ->
                                        attempts.computeIfAbsent(id, key -> new long[1])[0] +=
                                                Math.round(admitted * part));
            }
            attempts.forEach(
                    (id, sent) -> {
                        FlowEndpoint endpoint = endpointsById.get(id);
                        if (sent[0] > 0) {
                            double latency =
                                    scenario.products().get(0).work()
                                            / Math.max(
                                                    0.02,
                                                    1
                                                            - Math.min(
                                                                    MAX_UTILIZATION,
                                                                    endpoint.utilization));
                            endpointStats.add(
                                    new LoadReport.EndpointStats(
                                            id,
                                            sent[0],
                                            endpoint.up ? sent[0] : 0,
                                            endpoint.up ? 0 : sent[0],
                                            endpoint.up ? latency * sent[0] : 0,
                                            endpoint.up ? endpoint.utilization * sent[0] : 0,
                                            endpoint.up ? sent[0] : 0));
                        }
                    });
            // A report that repeats the one before to the letter is left out as a stuck one: its
            // span tells them apart.
            core.loadReported(
                    new LoadReport(
                            proxy.number, interval + sequence++ % 7 * 0.01, endpointStats, demand));
        }
        scheduledTasks.add(
                new ScheduledTask(
                        now + interval,
                        sequence++,
                        this::tick)); // the fleet's own, whatever becomes of the governor
    }

    // What may be asked of it.

    /** The part of a product's traffic that goes to a replica, by all proxies. */
    double trafficShare(FlowEndpoint endpoint, int requestClass) {
        return proxies.stream()
                        .mapToDouble(
                                proxy ->
                                        trafficShares(proxy, requestClass)
                                                .getOrDefault(endpoint.id, 0.0))
                        .sum()
                / proxies.size();
    }

    /** The least ready replicas that any proxy has a line to. */
    int minReadyEntries(int requestClass) {
        return proxies.stream()
                .mapToInt(
                        proxy ->
                                (int)
                                        trafficShares(proxy, requestClass).keySet().stream()
                                                .filter(id -> endpointsById.get(id).isReady())
                                                .count())
                .min()
                .orElse(0);
    }

    /** Whether a product may go there at all. */
    boolean serves(FlowEndpoint endpoint, int requestClass) {
        Scenario.RequestClassSettings requestClassSettings = scenario.products().get(requestClass);
        return requestClassSettings.kinds().isEmpty()
                || requestClassSettings
                        .kinds()
                        .contains(scenario.kinds().get(endpoint.kind).name());
    }

    double admittedShare(int requestClass) {
        return proxies.stream()
                .mapToDouble(proxy -> admittedShare(proxy, requestClass))
                .min()
                .orElse(1);
    }

    // What the core asks for.

    @Override
    public double now() {
        return now;
    }

    @Override
    public void schedule(double time, Runnable step) {
        int scheduledIn = incarnation;
        scheduledTasks.add(
                new ScheduledTask(
                        time,
                        sequence++,
                        () -> {
                            if (scheduledIn == incarnation) {
                                step.run();
                            }
                        }));
    }

    @Override
    public void send(Object connection, ResourceUpdate message) {
        FlowProxy proxy = (FlowProxy) connection;
        if (message.stream != proxy.stream) {
            return;
        }
        int scheduledIn = incarnation;
        scheduledTasks.add(
                new ScheduledTask(
                        now + 1,
                        sequence++,
                        () -> {
                            if (scheduledIn != incarnation) {
                                return;
                            }
                            message.resources.forEach(
                                    resource -> {
                                        proxy.heldVersions.put(resource.name(), resource.version());
                                        applyResource(proxy, resource);
                                    });
                            message.removedNames.forEach(
                                    name -> {
                                        proxy.heldVersions.remove(name);
                                        if (name.type() == ResourceType.LINE) {
                                            proxy.tables
                                                    .getOrDefault(name.table(), new TreeMap<>())
                                                    .remove(name.endpointId());
                                        } else if (name.type() == ResourceType.CLUSTER) {
                                            proxy.tables.remove(name.table());
                                        }
                                    });
                            core.updateAnswered(message.stream, message.id, null);
                        }));
    }

    private void applyResource(FlowProxy proxy, RoutingResource resource) {
        int tableNumber = resource.name().table();
        switch (resource.name().type()) {
            case CLUSTER -> {
                proxy.tables.computeIfAbsent(tableNumber, key -> new TreeMap<>());
                core.subscriptionChanged(proxy.stream, ResourceType.ENDPOINTS, tableNumber, true);
                core.subscriptionChanged(proxy.stream, ResourceType.LINE, tableNumber, true);
            }
            case LINE -> {
                RoutingResource.EndpointEntry line = resource.entries().get(0);
                Map<Long, Integer> table =
                        proxy.tables.computeIfAbsent(tableNumber, key -> new TreeMap<>());
                if (line.draining()) {
                    table.remove(line.endpointId());
                } else {
                    table.put(line.endpointId(), line.weight());
                }
            }
            case ROUTE -> {
                proxy.rulesByRequestClass.clear();
                resource.rules()
                        .forEach(rule -> proxy.rulesByRequestClass.put(rule.requestClass(), rule));
            }
            default -> {}
        }
    }

    @Override
    public void closeStream(Object connection, ProxyStream stream, boolean busy, String reason) {
        throw new IllegalStateException(
                "a stream is ended: " + reason); // proxies here answer at once
    }

    @Override
    public void startHealthCheck(ListedEndpoint listed) {
        FlowEndpoint endpoint = endpointsById.get(listed.id());
        double answerDelay = endpoint.up ? 2 : config.probes().timeout();
        schedule(
                now + answerDelay,
                () ->
                        core.healthCheckCompleted(
                                endpoint.id,
                                endpoint.up ? HealthCheckResult.OK : HealthCheckResult.UNREACHABLE,
                                endpoint.up ? endpoint.utilization : Double.NaN));
    }

    @Override
    public void broadcastToPeers(byte[] note) {
        // one governor
    }

    @Override
    public void watchEndpointList() {
        // it comes unasked
    }

    @Override
    public void batchAcknowledged(Object connection, double after) {
        // of no interest
    }

    @Override
    public void endpointListed(ListedEndpoint entry) {
        // addresses do not matter here
    }

    @Override
    public void log(String text, Object... figures) {
        log.add(
                String.format(
                        java.util.Locale.ROOT, "%.1f s %s", (now - START_MILLIS) / 1000, text));
    }

    @Override
    public void decisionFailed(RuntimeException e) {
        internalErrors++;
        log("BUG: " + e);
    }
}
