package sprucelanding.control.core;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import sprucelanding.control.decision.AdmissionMode;
import sprucelanding.control.decision.HealthCheckResult;
import sprucelanding.control.decision.RequestClass;
import sprucelanding.control.decision.RoutingController;
import sprucelanding.control.delivery.Delivery;
import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.delivery.ResourceName;
import sprucelanding.control.delivery.ResourceType;
import sprucelanding.control.delivery.StreamAdmission;
import sprucelanding.control.discovery.EndpointList;
import sprucelanding.control.loadreport.LoadReport;
import sprucelanding.control.loadreport.LoadReportAggregator;

/**
 * Governor without its sockets.
 *
 * <p>The host reports events, all from one thread, and calls {@link #processBatch} after each batch
 * of events. That method takes decisions until there are none left. The admission decides which
 * streams are admitted, the controller decides the orders, and the delivery decides the updates.
 * The orders of one call form one batch. Times are ms on the host's clock.
 *
 * <p>This class defines the order of the steps. {@link DiscoveryHandler} keeps the endpoint list
 * and {@link ProxyConnections} keeps the proxies. {@link ControllerOutputHandler} and {@link
 * DeliveryActionHandler} execute the decisions.
 */
public final class GovernorCore {
    /**
     * Alias of {@link GovernorHost} for hosts that were written before {@link GovernorHost} had its
     * own file.
     */
    public interface Host extends GovernorHost {}

    /** Interval between checks for proxies that do not answer, in ms. */
    private static final double STREAM_CHECK_INTERVAL_MILLIS = 100;

    private final GovernorHost host;
    private final RoutingController controller;
    private final ControllerInput input;
    private final Delivery delivery;
    private final StreamAdmission admission;
    private final LoadReportAggregator loadReports;
    private final BatchTracker batch = new BatchTracker();
    private final GovernorMetrics metrics = new GovernorMetrics();
    private final DiscoveryHandler discovery;
    private final ProxyConnections proxies;
    private final HealthCheckDispatcher healthChecks;
    private final ControllerOutputHandler outputHandler;
    private final DeliveryActionHandler actionHandler;

    /** Whether update results have been received since the last batch. */
    private boolean hasNewUpdateResults;

    /**
     * Creates a core, which does no work until {@link #start} is called.
     *
     * @param controller the controller, read for metrics only
     * @param input path to the controller, which may include a recorder
     * @param listener notified of events that do not reach the controller
     * @param zones zone names by index
     * @param machineKinds machine kind names by index
     * @param healthChecksEnabled whether endpoints can be checked; otherwise the controller is
     *     notified that checks were not performed
     * @param wallClockOffsetMillis ms to subtract from a wall-clock time to get the host's time
     */
    public GovernorCore(
            GovernorHost host,
            RoutingController controller,
            ControllerInput input,
            InputListener listener,
            List<String> zones,
            List<String> machineKinds,
            boolean healthChecksEnabled,
            double wallClockOffsetMillis,
            Delivery delivery,
            StreamAdmission admission,
            LoadReportAggregator loadReports) {
        this.host = host;
        this.controller = controller;
        this.input = input;
        this.delivery = delivery;
        this.admission = admission;
        this.loadReports = loadReports;
        EndpointList endpointList = new EndpointList(zones, machineKinds);
        discovery =
                new DiscoveryHandler(host, input, listener, endpointList, wallClockOffsetMillis);
        proxies =
                new ProxyConnections(
                        host, input, listener, zones, delivery, admission, loadReports);
        healthChecks = new HealthCheckDispatcher(host, input, discovery, healthChecksEnabled);
        outputHandler = new ControllerOutputHandler(host, input, delivery, healthChecks, batch);
        actionHandler = new DeliveryActionHandler(host, input, listener, proxies, batch);
    }

    /** Creates a controller. The same seed and the same events result in the same orders. */
    public static RoutingController newController(
            long seed, RequestClass[] requestClasses, int zoneCount, AdmissionMode admissionMode) {
        return new RoutingController(
                new SplittableRandom(seed), requestClasses, zoneCount, admissionMode);
    }

    /**
     * Starts the periodic work.
     *
     * @param savedList the endpoint list that was saved earlier; null if there is none
     * @param pushed whether discovery pushes the list without a request
     * @param periodMillis period over which load reports are aggregated for the controller, in ms
     */
    public void start(String savedList, boolean pushed, double periodMillis) {
        input.setTime(host.now());
        if (savedList != null) {
            endpointListReceived(savedList);
        }
        if (pushed) {
            outputHandler.watchEndpointList();
        }
        LoadReportHandler reportHandler = new LoadReportHandler(host, input);
        scheduleEvery(
                periodMillis,
                () -> {
                    input.setTime(host.now());
                    loadReports.periodElapsed(reportHandler);
                });
        scheduleEvery(
                STREAM_CHECK_INTERVAL_MILLIS,
                () -> {
                    delivery.setTime(host.now());
                    delivery.checkAnswerTimeouts();
                });
    }

    private void scheduleEvery(double periodMillis, Runnable action) {
        host.schedule(
                host.now() + periodMillis,
                () -> {
                    action.run();
                    scheduleEvery(periodMillis, action);
                });
    }

    // Endpoints.

    /** Handles a new connection to discovery. */
    public void discoveryConnected() {
        discovery.connected();
    }

    /**
     * Applies an endpoint list, unless it is no newer than the known one.
     *
     * @return false if the list is invalid; nothing of it is applied then
     */
    public boolean endpointListReceived(String json) {
        return discovery.received(json);
    }

    /** Returns the complete known endpoint list as JSON, for saving. */
    public String endpointListJson() {
        return discovery.listJson();
    }

    /**
     * Handles a failure to retrieve the endpoint list.
     *
     * @param pushed whether discovery pushes the list; otherwise the controller is notified and
     *     requests it again
     */
    public void discoveryFailed(String reason, boolean pushed) {
        discovery.failed(reason, pushed);
    }

    /**
     * Handles the result of a health check.
     *
     * @param load fraction of the endpoint's cores in use; NaN if it was not reported
     */
    public void healthCheckCompleted(long endpointId, HealthCheckResult result, double load) {
        input.setTime(host.now());
        input.healthCheckCompleted(endpointId, result, load);
    }

    /**
     * Handles statistics of an endpoint from another governor's proxies, in the same way as those
     * from this governor's proxies.
     */
    public void peerStatsReported(
            long endpointId, int attempts, int failed, double responseMillis, double load) {
        input.setTime(host.now());
        input.endpointStatsReported(endpointId, attempts, failed, responseMillis, load);
    }

    // Proxies.

    /**
     * Handles a new proxy connection. The proxy then waits for admission.
     *
     * @param transport object that the host needs to reach the proxy
     * @param name the proxy's name
     * @param zone name of the proxy's zone; an unknown zone is treated as the zone with index 0
     * @param baselineDemand expected requests per second
     * @param withoutTables whether the proxy holds no routing tables from an earlier connection
     */
    public void proxyConnected(
            Object transport,
            ProxyStream stream,
            String name,
            String zone,
            double baselineDemand,
            boolean withoutTables) {
        proxies.connected(
                stream,
                name,
                new ProxyConnection.ProxyParameters(
                        transport, zone, baselineDemand, withoutTables));
    }

    /** Handles a proxy's report of the resource versions that it holds when it connects. */
    public void initialVersionsReported(ProxyStream stream, Map<ResourceName, String> versions) {
        versions.forEach((name, version) -> delivery.initialVersionReported(stream, name, version));
    }

    /** Handles a read of all resources that a proxy holds. */
    public void fullStateRead(ProxyStream stream, Map<ResourceName, String> versions) {
        delivery.fullStateRead(stream, versions);
    }

    /** Handles the end of a stream; ignored if the proxy has already replaced the stream. */
    public void proxyDisconnected(ProxyStream stream) {
        proxies.disconnected(stream);
    }

    /**
     * Adds or removes a subscription of a proxy. The table is used for entries and endpoints only.
     */
    public void subscriptionChanged(
            ProxyStream stream, ResourceType type, int table, boolean subscribed) {
        if (subscribed) {
            delivery.subscribed(stream, type, table);
        } else {
            delivery.unsubscribed(stream, type, table);
        }
    }

    /**
     * Handles the result of an update.
     *
     * @param rejection reason for which the proxy rejected the update; null if the proxy accepted
     *     it
     */
    public void updateResultReceived(ProxyStream stream, long updateId, String rejection) {
        hasNewUpdateResults = true;
        proxies.updateResultReceived(stream, updateId, rejection);
    }

    /** Handles a load report; reports of proxies that are not admitted are ignored. */
    public void loadReported(LoadReport report) {
        proxies.loadReported(report);
    }

    // Decisions.

    /** Processes all events since the last call as one batch. */
    public void processBatch() {
        double now = host.now();
        batch.begin(now);
        admission.setTime(now);
        DecisionLoop.runUntilIdle(host, () -> admission.decide(proxies));
        input.setTime(now);
        delivery.setTime(now);
        do { // an acknowledgement can free channel capacity for orders that waited
            batch.takeInputReceived();
            DecisionLoop.runUntilIdle(host, () -> input.decide(outputHandler));
            while (healthChecks.reportNotPerformed()) {
                batch.inputReceived();
            }
            if (batch.hasOrders()) {
                delivery.batchEnded();
            }
            DecisionLoop.runUntilIdle(host, () -> delivery.decide(actionHandler));
        } while (batch.takeInputReceived());
        if (batch.hasOrders() || hasNewUpdateResults) {
            hasNewUpdateResults = false;
            metrics.recordChannel(controller.queuedEntries(), delivery.unansweredEntries());
        }
        metrics.recordBatch(host.now() - now);
    }

    /**
     * Returns metrics as log fields, with keys and values alternating. Maximum values cover the
     * time since the last call and are then reset.
     */
    public Object[] metrics() {
        Object[] counts = {
            "orders",
            batch.orderCount(),
            "streams",
            proxies.admittedCount(),
            "waiting",
            admission.waitingCount(),
            "unansweredLines",
            delivery.unansweredEntries(),
            "mostUnansweredLines",
            delivery.takeMaxUnansweredEntries()
        };
        return Stream.of(counts, metrics.takeFields()).flatMap(Arrays::stream).toArray();
    }
}
