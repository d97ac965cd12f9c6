package sprucelanding.simulation.expectation;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
import sprucelanding.simulation.scenario.Scenario;

/**
 * A simulated fleet that models traffic as a flow instead of single requests. The demand of each
 * proxy is split by the weights of its tables, and the resulting loads are reported. One governor
 * decides in virtual time with the same core as in production. The same events always produce the
 * same tables. Times are in milliseconds.
 */
final class TrafficFlow implements GovernorCore.Host {
    private static final int PROXIES_PER_ZONE = 2;
    private static final double MESSAGE_DELAY_MS = 1;
    private static final double HEALTH_CHECK_MS = 2;

    private final Scenario scenario;
    private final GovernorConfig config;
    private final VirtualClock clock = new VirtualClock();
    private final List<FlowEndpoint> endpoints = new ArrayList<>();
    private final Map<Long, FlowEndpoint> endpointsById = new HashMap<>();
    private final List<FlowProxy> proxies = new ArrayList<>();
    private final FlowReports reports;
    private GovernorCore core;

    /** Number of the governor's start; steps that an earlier start scheduled are dropped. */
    private int generation;

    private long listVersion;
    private double requestRateFactor = 1;
    private int internalErrors;

    /** Creates a fleet and starts its governor. */
    TrafficFlow(Scenario scenario, GovernorConfig config) {
        this.scenario = scenario;
        this.config = config;
        reports = new FlowReports(scenario, endpointsById);
        int zones = scenario.zones().size();
        for (int i = 0; i < scenario.replicas().count(); i++) {
            int kindNumber = scenario.endpointKind(i);
            Scenario.EndpointKind kind = scenario.kinds().get(kindNumber);
            FlowEndpoint endpoint =
                    new FlowEndpoint(i, i % zones, kindNumber, kind.cores() * kind.speed());
            endpoints.add(endpoint);
            endpointsById.put(endpoint.id(), endpoint);
        }
        for (int i = 0; i < zones * PROXIES_PER_ZONE; i++) {
            proxies.add(new FlowProxy(i, i % zones));
        }
        startGovernor();
        sendReports();
    }

    /** Starts a governor, to which the proxies connect with the resources that they hold. */
    private void startGovernor() {
        generation++;
        RoutingController controller = GovernorComponents.createController(config);
        core =
                GovernorComponents.createCore(
                        config,
                        this,
                        controller,
                        new DirectInput(controller),
                        InputListener.NONE,
                        0);
        core.start(null, true, config.reports().every());
        sendEndpointList();
        proxies.forEach(this::connect);
        core.processBatch();
    }

    private void connect(FlowProxy proxy) {
        ProxyStream stream = proxy.openStream();
        Map<ResourceName, String> heldVersions = proxy.heldVersions();
        core.proxyConnected(
                proxy,
                stream,
                "proxy-" + proxy.number(),
                scenario.zones().get(proxy.zone()),
                requestsPerSecond(),
                heldVersions.isEmpty());
        core.initialVersionsReported(stream, heldVersions);
        for (ResourceType type : ResourceType.values()) {
            core.subscriptionChanged(stream, type, 0, true);
        }
        proxy.tableNumbers().forEach(table -> subscribe(stream, table));
    }

    private void subscribe(ProxyStream stream, int table) {
        core.subscriptionChanged(stream, ResourceType.ENDPOINTS, table, true);
        core.subscriptionChanged(stream, ResourceType.LINE, table, true);
    }

    /** Returns the request rate of each proxy. */
    private double requestsPerSecond() {
        return scenario.txns() * requestRateFactor / proxies.size();
    }

    private void sendEndpointList() {
        listVersion++;
        if (!core.endpointListReceived(EndpointListText.of(scenario, endpoints, listVersion))) {
            throw new IllegalStateException(
                    "the governor rejected endpoint list version " + listVersion);
        }
    }

    /**
     * Applies an event at the current time.
     *
     * @param size utilization or factor, depending on the kind
     */
    void apply(EventKind kind, List<FlowEndpoint> affected, double size) {
        switch (kind) {
            case ENDPOINT_ENDS, ZONE_ENDS -> {
                affected.forEach(FlowEndpoint::end);
                schedule(now() + scenario.roster().notices(), this::sendEndpointList);
            }
            case ENDPOINT_DRAINS -> {
                affected.forEach(FlowEndpoint::drain);
                sendEndpointList();
            }
            case ENDPOINT_RETURNS, ZONE_RETURNS -> {
                affected.forEach(endpoint -> endpoint.start(now()));
                schedule(now() + scenario.roster().adds(), this::sendEndpointList);
            }
            case UTILIZATION_FORCED ->
                    affected.forEach(endpoint -> endpoint.forceUtilization(size));
            case DEMAND_CHANGES -> requestRateFactor = size;
            case GOVERNOR_RESTARTS -> startGovernor();
            default -> throw new IllegalArgumentException(kind.word());
        }
        core.processBatch();
    }

    /** Advances the virtual time, and processes the steps that become due. */
    void advance(double durationMillis) {
        clock.advance(durationMillis, () -> core.processBatch());
    }

    /** Updates the loads and sends the reports of all proxies, and repeats this periodically. */
    private void sendReports() {
        reports.updateUtilizations(endpoints, proxies, requestsPerSecond());
        double interval = config.reports().every();
        for (FlowProxy proxy : proxies) {
            core.loadReported(
                    reports.report(proxy, requestsPerSecond(), interval, clock.nextSequence()));
        }
        clock.schedule(now() + interval, this::sendReports);
    }

    List<FlowEndpoint> endpoints() {
        return Collections.unmodifiableList(endpoints);
    }

    /** Returns the number of decisions that threw an exception. */
    int internalErrors() {
        return internalErrors;
    }

    /** Returns the mean share of a request class that the proxies send to an endpoint. */
    double trafficShare(FlowEndpoint endpoint, int requestClass) {
        return proxies.stream()
                        .mapToDouble(
                                proxy ->
                                        proxy.trafficShares(requestClass)
                                                .getOrDefault(endpoint.id(), 0.0))
                        .sum()
                / proxies.size();
    }

    /** Returns the minimum over all proxies of the number of entries for ready endpoints. */
    int minReadyEntries(int requestClass) {
        return proxies.stream()
                .mapToInt(proxy -> readyEntries(proxy, requestClass))
                .min()
                .orElse(0);
    }

    private int readyEntries(FlowProxy proxy, int requestClass) {
        return (int)
                proxy.trafficShares(requestClass).keySet().stream()
                        .filter(id -> endpointsById.get(id).isReady())
                        .count();
    }

    /** Returns whether the machine kind of an endpoint serves a request class. */
    boolean serves(FlowEndpoint endpoint, int requestClass) {
        List<String> kinds = scenario.products().get(requestClass).kinds();
        return kinds.isEmpty() || kinds.contains(scenario.kinds().get(endpoint.kind()).name());
    }

    /** Returns the minimum over all proxies of the admitted share of a request class. */
    double admittedShare(int requestClass) {
        return proxies.stream()
                .mapToDouble(proxy -> proxy.admittedShare(requestClass))
                .min()
                .orElse(1);
    }

    @Override
    public double now() {
        return clock.now();
    }

    @Override
    public void schedule(double time, Runnable step) {
        int scheduledGeneration = generation;
        clock.schedule(
                time,
                () -> {
                    if (scheduledGeneration == generation) {
                        step.run();
                    }
                });
    }

    @Override
    public void send(Object connection, ResourceUpdate message) {
        FlowProxy proxy = (FlowProxy) connection;
        if (message.stream == proxy.stream()) {
            schedule(now() + MESSAGE_DELAY_MS, () -> receive(proxy, message));
        }
    }

    private void receive(FlowProxy proxy, ResourceUpdate message) {
        for (RoutingResource resource : message.resources) {
            proxy.addResource(resource);
            if (resource.name().type() == ResourceType.CLUSTER) {
                subscribe(proxy.stream(), resource.name().table());
            }
        }
        message.removedNames.forEach(proxy::removeResource);
        core.updateResultReceived(message.stream, message.id, null);
    }

    @Override
    public void closeStream(Object connection, ProxyStream stream, boolean busy, String reason) {
        // The core closes no stream because proxies acknowledge every update immediately.
        throw new IllegalStateException("the governor closed the stream of a proxy: " + reason);
    }

    @Override
    public void startHealthCheck(ListedEndpoint listed) {
        FlowEndpoint endpoint = endpointsById.get(listed.id());
        double duration = endpoint.isUp() ? HEALTH_CHECK_MS : config.probes().timeout();
        schedule(now() + duration, () -> completeHealthCheck(endpoint));
    }

    private void completeHealthCheck(FlowEndpoint endpoint) {
        core.healthCheckCompleted(
                endpoint.id(),
                endpoint.isUp() ? HealthCheckResult.OK : HealthCheckResult.UNREACHABLE,
                endpoint.isUp() ? endpoint.utilization() : Double.NaN);
    }

    @Override
    public void broadcastToPeers(byte[] note) {
        // The fleet has only one governor.
    }

    @Override
    public void watchEndpointList() {
        // The fleet sends the list without a watch.
    }

    @Override
    public void batchAcknowledged(Object connection, double after) {
        // Expectations do not check acknowledgement delays.
    }

    @Override
    public void endpointListed(ListedEndpoint entry) {
        // The fleet does not use addresses.
    }

    @Override
    public void log(String text, Object... figures) {
        // Expectations check only tables.
    }

    @Override
    public void decisionFailed(RuntimeException failure) {
        internalErrors++;
    }
}
