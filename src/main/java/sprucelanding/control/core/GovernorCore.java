package sprucelanding.control.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import sprucelanding.control.decision.AdmissionMode;
import sprucelanding.control.decision.ControllerOutput;
import sprucelanding.control.decision.DecisionEvent;
import sprucelanding.control.decision.Endpoint;
import sprucelanding.control.decision.EndpointState;
import sprucelanding.control.decision.HealthCheckResult;
import sprucelanding.control.decision.Proxy;
import sprucelanding.control.decision.RequestClass;
import sprucelanding.control.decision.RoutingController;
import sprucelanding.control.delivery.Delivery;
import sprucelanding.control.delivery.DeliveryActions;
import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.delivery.ResourceName;
import sprucelanding.control.delivery.ResourceType;
import sprucelanding.control.delivery.ResourceUpdate;
import sprucelanding.control.delivery.StreamAdmission;
import sprucelanding.control.discovery.EndpointList;
import sprucelanding.control.discovery.ListedEndpoint;
import sprucelanding.control.loadreport.LoadReport;
import sprucelanding.control.loadreport.LoadReportAggregator;
import sprucelanding.control.loadreport.LoadReportSink;

/**
 * A governor without its sockets. The host tells what happened, all from one thread, and calls
 * settle after each batch: that takes the inputs of Choice, then pulls decisions until there is
 * none: from Admission who is let in, from Choice its orders, from Delivery the messages. What
 * Choice orders in one settling is one moment.
 */
public final class GovernorCore {
    /** What a governor needs of the world. Times are ms on one clock that never goes back. */
    public interface Host {
        double now();

        void schedule(double time, Runnable step);

        /** Way is what the host gave when the proxy dialled. */
        void send(Object transport, ResourceUpdate update);

        /** Ends a stream; busy: only because there are too many. */
        void closeStream(Object transport, ProxyStream stream, boolean busy, String reason);

        /** Its answer comes as probed. */
        void startHealthCheck(ListedEndpoint endpoint);

        void broadcastToPeers(byte[] payload);

        void watchEndpointList();

        /** A moment's orders are in force at a proxy, so many ms after they were decided. */
        void batchAcknowledged(Object transport, double delayMillis);

        void endpointListed(ListedEndpoint endpoint);

        /** What own proxies met at a replica within a period, as Choice was told. */
        default void endpointStatsReported(
                long endpointId, int attempts, int failed, double responseMillis, double load) {}

        /** One line, with its figures as key and value in turn. */
        void log(String event, Object... fields);

        /** A decision threw: the tables in force stay, and the next event tries again. */
        void decisionFailed(RuntimeException e);
    }

    private static final double STREAM_CHECK_INTERVAL_MILLIS =
            100; // ms between looks at who is behind
    private static final int ACKNOWLEDGEMENT_SERIALS = 65_536;

    private record ProxyConnection(
            Object transport,
            ProxyStream stream,
            String zone,
            double baselineDemand,
            boolean withoutTables,
            boolean[] admitted) {}

    private final Host host;
    private final RoutingController controller;
    private final ControllerInput input;
    private final InputListener listener;
    private final List<String> zones;
    private final Delivery delivery;
    private final StreamAdmission admission;
    private final LoadReportAggregator loadReports;
    private final EndpointList endpointList;
    private final boolean healthChecksEnabled;
    private final double wallOffset;
    private final Map<Long, ListedEndpoint> endpointsById = new HashMap<>();

    /** Those that dialled, waiting or in, by number. */
    private final Map<Integer, ProxyConnection> connectionsByProxy = new HashMap<>();

    /**
     * Replicas that are not probed after all: their answers come once the decision under way is
     * done.
     */
    private final ArrayDeque<Long> uncheckedEndpoints = new ArrayDeque<>();

    private final OutputHandler outputHandler = new OutputHandler();
    private final ActionHandler actionHandler = new ActionHandler();

    /** When the moment of each receipt was. */
    private final double[] batchTimeBySerial = new double[ACKNOWLEDGEMENT_SERIALS];

    private double batchTime;
    private boolean batchHasOrders;
    private boolean batchHasAnswers;
    private boolean acknowledgementReceived;
    private boolean watchRequested;

    /** None was told yet, nor kept from before. */
    private boolean awaitingFirstList = true;

    private long orderCount;
    private double longestBatchMillis;

    /**
     * Lines that Choice's model of the channel holds: the most, and how far above and below those
     * unanswered.
     */
    private double maxModelEntries;

    private double maxModelExcess;
    private double maxModelShortfall;

    /**
     * @param choice the module, for its figures
     * @param inputs the same, or one that overhears and passes on
     * @param wallOffset what a wall clock's ms have to lose to be the host's
     */
    public GovernorCore(
            Host host,
            RoutingController controller,
            ControllerInput input,
            InputListener listener,
            List<String> zones,
            List<String> machineKinds,
            boolean healthChecksEnabled,
            double wallOffset,
            Delivery delivery,
            StreamAdmission admission,
            LoadReportAggregator loadReports) {
        this.host = host;
        this.controller = controller;
        this.input = input;
        this.listener = listener;
        this.zones = zones;
        this.healthChecksEnabled = healthChecksEnabled;
        this.wallOffset = wallOffset;
        this.delivery = delivery;
        this.admission = admission;
        this.loadReports = loadReports;
        this.endpointList = new EndpointList(zones, machineKinds);
    }

    /** Seeded, so that the same events give the same orders. */
    public static RoutingController newController(
            long seed, RequestClass[] requestClasses, int zoneCount, AdmissionMode admissionMode) {
        return new RoutingController(
                new SplittableRandom(seed), requestClasses, zoneCount, admissionMode);
    }

    /**
     * @param kept the list as it was kept from before, or null
     * @param watches the list comes unasked
     * @param every ms between the sums that Choice is told
     */
    public void start(String savedList, boolean pushed, double periodMillis) {
        input.setTime(host.now());
        if (savedList != null) {
            endpointListReceived(savedList);
        }
        if (pushed) {
            outputHandler.watchEndpointList();
        }
        scheduleEvery(
                periodMillis,
                () -> {
                    input.setTime(host.now());
                    loadReports.periodElapsed(actionHandler);
                });
        scheduleEvery(
                STREAM_CHECK_INTERVAL_MILLIS,
                () -> {
                    delivery.setTime(host.now());
                    delivery.checkUnanswered();
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

    // The list.

    public void discoveryConnected() {
        endpointList.connectionOpened();
        host.log("the roster is heard");
    }

    /**
     * Takes a told list, unless it is no newer than what is known. False: it was refused, and
     * nothing of it was taken.
     */
    public boolean endpointListReceived(String json) {
        try {
            EndpointList.ListUpdate update = endpointList.update(json);
            if (update != null) {
                applyEndpointList(update);
            }
            return true;
        } catch (EndpointList.InvalidEndpointListException e) {
            host.log("a list is refused", "why", e.getMessage());
            return false;
        }
    }

    private void applyEndpointList(EndpointList.ListUpdate update) {
        double now = host.now();
        input.setTime(now);
        input.endpointListStarted(update.complete(), awaitingFirstList);
        for (ListedEndpoint endpoint : update.entries()) {
            endpointsById.put(endpoint.id(), endpoint);
            host.endpointListed(endpoint);
            listener.endpointListed(now, endpoint);
            input.endpointListed(
                    endpoint.id(),
                    endpoint.zone(),
                    endpoint.machineKind(),
                    endpoint.weight(),
                    endpoint.startedAt() == 0 ? 0 : endpoint.startedAt() - wallOffset,
                    switch (endpoint.state()) {
                        case READY -> EndpointState.AVAILABLE;
                        case DRAINING -> EndpointState.DRAINING;
                        case GONE -> EndpointState.GONE;
                    });
        }
        input.endpointListCompleted();
        host.log(
                awaitingFirstList ? "begins with a list" : "list told",
                "version",
                update.version(),
                "whole",
                update.complete(),
                "entries",
                update.entries().size());
        awaitingFirstList = false;
    }

    /** All of the list as it is known, to be kept. */
    public String endpointListText() {
        return endpointList.toJson();
    }

    public void discoveryFailed(String reason, boolean pushed) {
        host.log("the roster is not heard", "why", reason);
        if (!pushed) {
            input.setTime(host.now());
            input.endpointListFailed();
        }
    }

    public void healthCheckCompleted(long endpointId, HealthCheckResult result, double load) {
        input.setTime(host.now());
        input.healthCheckCompleted(endpointId, result, load);
    }

    /** What another governor's proxies met at a replica: taken as if own ones had. */
    public void peerStatsReported(
            long endpointId, int attempts, int failed, double responseMillis, double load) {
        input.setTime(host.now());
        input.endpointStatsReported(endpointId, attempts, failed, responseMillis, load);
    }

    // Proxies.

    public void proxyConnected(
            Object transport,
            ProxyStream stream,
            String name,
            String zone,
            double baselineDemand,
            boolean withoutTables) {
        removeProxy(stream.proxyId);
        listener.proxyNamed(host.now(), stream.proxyId, name);
        connectionsByProxy.put(
                stream.proxyId,
                new ProxyConnection(
                        transport, stream, zone, baselineDemand, withoutTables, new boolean[1]));
        admission.setTime(host.now());
        admission.proxyConnected(stream.proxyId, withoutTables);
    }

    public void heldVersionsReported(ProxyStream stream, Map<ResourceName, String> versions) {
        versions.forEach((name, version) -> delivery.heldVersionReported(stream, name, version));
    }

    public void fullStateRead(ProxyStream stream, Map<ResourceName, String> versions) {
        delivery.fullStateRead(stream, versions);
    }

    public void proxyDisconnected(ProxyStream stream) {
        ProxyConnection connection = connectionsByProxy.get(stream.proxyId);
        if (connection != null && connection.stream == stream) {
            removeProxy(stream.proxyId);
        }
    }

    private void removeProxy(int proxyId) {
        ProxyConnection connection = connectionsByProxy.remove(proxyId);
        if (connection != null) {
            admission.proxyDisconnected(proxyId);
            delivery.proxyDisconnected(proxyId);
            loadReports.proxyLeft(proxyId);
            if (connection.admitted[0]) {
                input.setTime(host.now());
                input.proxyLeft(proxyId);
            }
        }
    }

    public void subscriptionChanged(
            ProxyStream stream, ResourceType type, int table, boolean subscribed) {
        if (subscribed) {
            delivery.subscribed(stream, type, table);
        } else {
            delivery.unsubscribed(stream, type, table);
        }
    }

    public void updateAnswered(ProxyStream stream, long updateId, String rejection) {
        double now = host.now();
        listener.updateAnswered(now, stream.proxyId, updateId, rejection);
        delivery.setTime(now);
        batchHasAnswers = true;
        if (rejection == null) {
            delivery.updateAccepted(stream, updateId);
        } else {
            delivery.updateRejected(stream, updateId, rejection);
        }
        if (stream.hasAcknowledged(ResourceName.ROUTE)) {
            admission.proxyInitialized(stream.proxyId);
        }
    }

    public void loadReported(LoadReport report) {
        ProxyConnection connection = connectionsByProxy.get(report.proxyId());
        if (connection != null && connection.admitted[0]) {
            listener.loadReported(host.now(), report);
            loadReports.accept(report);
        }
    }

    // Decisions.

    public void processBatch() {
        batchTime = host.now();
        admission.setTime(batchTime);
        runUntilIdle(() -> admission.decide(actionHandler));
        input.setTime(batchTime);
        batchHasOrders = false;
        delivery.setTime(batchTime);
        do { // a receipt makes room for what waited
            acknowledgementReceived = false;
            runUntilIdle(() -> input.decide(outputHandler));
            while (!uncheckedEndpoints.isEmpty()) {
                input.healthCheckCompleted(
                        uncheckedEndpoints.poll(), HealthCheckResult.NOT_PERFORMED, Double.NaN);
                acknowledgementReceived = true;
            }
            if (batchHasOrders) {
                delivery.batchEnded();
            }
            runUntilIdle(() -> delivery.decide(actionHandler));
        } while (acknowledgementReceived);
        if (batchHasOrders
                || batchHasAnswers) { // how far the gate's model of the channel is from what really
            // waits
            batchHasAnswers = false;
            double modelEntries = controller.queuedLines();
            int actualEntries = delivery.unansweredEntries();
            maxModelEntries = Math.max(maxModelEntries, modelEntries);
            maxModelExcess = Math.max(maxModelExcess, modelEntries - actualEntries);
            maxModelShortfall = Math.max(maxModelShortfall, actualEntries - modelEntries);
        }
        longestBatchMillis = Math.max(longestBatchMillis, host.now() - batchTime);
    }

    private void runUntilIdle(BooleanSupplier decision) {
        runUntilIdle(host, decision);
    }

    /** Pulls until there is no decision; one that throws is the host's to tell. */
    static void runUntilIdle(Host host, BooleanSupplier decision) {
        try {
            while (decision.getAsBoolean()) {
                continue;
            }
        } catch (RuntimeException e) {
            host.decisionFailed(e);
        }
    }

    /** The figures since this was last asked. */
    public Object[] metrics() {
        long streams =
                connectionsByProxy.values().stream()
                        .filter(connection -> connection.admitted[0])
                        .count();
        Object[] metrics = {
            "orders",
            orderCount,
            "streams",
            streams,
            "waiting",
            admission.waitingCount(),
            "unansweredLines",
            delivery.unansweredEntries(),
            "mostUnansweredLines",
            delivery.maxUnansweredEntries(),
            "modelMostLines",
            Math.round(maxModelEntries),
            "modelOverLines",
            Math.round(maxModelExcess),
            "modelUnderLines",
            Math.round(maxModelShortfall),
            "longestRoundMs",
            Math.round(longestBatchMillis * 10) / 10.0
        };
        longestBatchMillis = 0;
        maxModelEntries = 0;
        maxModelExcess = 0;
        maxModelShortfall = 0;
        return metrics;
    }

    /** What Choice orders. */
    private final class OutputHandler implements ControllerOutput {
        private void countOrder() {
            batchHasOrders = true;
            orderCount++;
        }

        @Override
        public void setWeight(int table, Endpoint endpoint, double weight) {
            countOrder();
            delivery.setEntry(table, endpoint.id, weight);
        }

        @Override
        public void clearTable(int table) {
            countOrder();
            delivery.clearTable(table);
        }

        @Override
        public void setEjected(Endpoint endpoint, boolean ejected) {
            countOrder();
            delivery.setEjected(endpoint.id, ejected);
        }

        @Override
        public void setAdmission(
                int table, RequestClass requestClass, double admittedLevel, int retryMode) {
            countOrder();
            delivery.setAdmissionLevel(table, requestClass.index, admittedLevel, retryMode);
        }

        @Override
        public void bindProxy(int table, Proxy proxy, BitSet requestClasses) {
            countOrder();
            List<Integer> classIndexes = new ArrayList<>();
            requestClasses.stream().forEach(classIndexes::add);
            delivery.bind(proxy.id, table, classIndexes);
        }

        @Override
        public void requestAcknowledgement(int serial) {
            batchTimeBySerial[serial % ACKNOWLEDGEMENT_SERIALS] = batchTime;
            delivery.requestAcknowledgement(serial);
        }

        @Override
        public void checkHealth(Endpoint endpoint) {
            ListedEndpoint listedEndpoint = endpointsById.get(endpoint.id);
            if (!healthChecksEnabled || listedEndpoint == null) {
                uncheckedEndpoints.add(endpoint.id);
            } else {
                host.startHealthCheck(listedEndpoint);
            }
        }

        @Override
        public void sendToPeers(byte[] payload) {
            host.broadcastToPeers(payload);
        }

        @Override
        public void watchEndpointList() {
            if (!watchRequested) {
                watchRequested = true;
                host.watchEndpointList();
            }
        }

        @Override
        public void setTimer(int tag, double at) {
            host.schedule(
                    at,
                    () -> {
                        input.setTime(host.now());
                        input.timerFired(tag);
                    });
        }

        @Override
        public void log(DecisionEvent event) {
            host.log(event.text(), "by", "choice");
        }
    }

    /** What the other parts decide, and what they tell Choice. */
    private final class ActionHandler
            implements DeliveryActions, StreamAdmission.Actions, LoadReportSink {
        @Override
        public void send(ResourceUpdate update) {
            listener.updateSent(batchTime, update);
            host.send(connectionsByProxy.get(update.stream.proxyId).transport, update);
        }

        @Override
        public void closeStream(ProxyStream stream, String reason) {
            ProxyConnection connection = connectionsByProxy.get(stream.proxyId);
            if (connection == null || connection.stream != stream) {
                return; // it ended since it was looked at, or the proxy is on a newer one already
            }
            host.log("a stream is cut", "proxy", stream.proxyId, "why", reason);
            removeProxy(stream.proxyId);
            host.closeStream(connection.transport, stream, false, reason);
        }

        @Override
        public void acknowledged(ProxyStream stream, int serial) {
            ProxyConnection connection = connectionsByProxy.get(stream.proxyId);
            if (connection != null) {
                host.batchAcknowledged(
                        connection.transport,
                        host.now() - batchTimeBySerial[serial % ACKNOWLEDGEMENT_SERIALS]);
            }
            acknowledgementReceived = true;
            input.acknowledged(serial);
        }

        @Override
        public void admit(int proxyId) {
            ProxyConnection connection = connectionsByProxy.get(proxyId);
            connection.admitted[0] = true;
            delivery.streamAdmitted(connection.stream);
            input.setTime(host.now());
            input.proxyJoined(
                    proxyId,
                    Math.max(0, zones.indexOf(connection.zone)),
                    connection.baselineDemand,
                    connection.withoutTables);
        }

        @Override
        public void reject(int proxyId, String reason) {
            ProxyConnection connection = connectionsByProxy.remove(proxyId);
            host.log("a stream is turned away", "proxy", proxyId, "why", reason);
            host.closeStream(connection.transport, connection.stream, true, reason);
        }

        @Override
        public void endpointStatsReported(
                long endpointId, int attempts, int failed, double responseMillis, double load) {
            input.endpointStatsReported(endpointId, attempts, failed, responseMillis, load);
            host.endpointStatsReported(endpointId, attempts, failed, responseMillis, load);
        }

        @Override
        public void demandReported(
                int proxyId, int requestClass, int requestCount, double spanMillis) {
            input.demandReported(proxyId, requestClass, requestCount, spanMillis);
        }

        @Override
        public void log(String event, Object... fields) {
            host.log(event, fields);
        }
    }
}
