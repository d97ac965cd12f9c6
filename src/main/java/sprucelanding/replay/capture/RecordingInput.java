package sprucelanding.replay.capture;

import java.nio.charset.StandardCharsets;
import java.util.BitSet;
import sprucelanding.control.core.ControllerInput;
import sprucelanding.control.core.InputListener;
import sprucelanding.control.decision.ControllerOutput;
import sprucelanding.control.decision.DecisionEvent;
import sprucelanding.control.decision.Endpoint;
import sprucelanding.control.decision.EndpointState;
import sprucelanding.control.decision.HealthCheckResult;
import sprucelanding.control.decision.Proxy;
import sprucelanding.control.decision.RequestClass;
import sprucelanding.control.delivery.ResourceUpdate;
import sprucelanding.control.discovery.ListedEndpoint;
import sprucelanding.control.loadreport.LoadReport;

/**
 * A decorator of a controller's input that records the inputs and the orders of the controller and
 * passes them on. The governor core calls the decorator in place of the controller. The decorator
 * also listens to the other messages that the core receives and sends, and records them. All calls
 * come from the governor's thread.
 */
public final class RecordingInput implements ControllerInput, InputListener {
    /** A consumer of recorded events. */
    public interface Sink {
        /**
         * Appends an event.
         *
         * @param at time of the event, in ms on the governor's clock
         * @param type type of the event
         * @param fields one value for each field of the type, of the field's Java type
         */
        void append(double at, EventType type, Object... fields);
    }

    /** Recorded in place of the resource type for NETCONF edits, which have none. */
    private static final String NETCONF_EDIT_TYPE = "EDIT";

    private final ControllerInput controller;
    private final Sink sink;
    private double now;
    private final RecordingOutput recordingOutput = new RecordingOutput();

    /**
     * Creates a decorator for one controller.
     *
     * @param controller the controller that receives the inputs
     * @param sink receives the recorded events
     */
    public RecordingInput(ControllerInput controller, Sink sink) {
        this.controller = controller;
        this.sink = sink;
    }

    private void append(EventType type, Object... fields) {
        sink.append(now, type, fields);
    }

    @Override
    public void setTime(double time) {
        now = time;
        append(EventType.CLOCK, time);
        controller.setTime(time);
    }

    @Override
    public void timerFired(int tag) {
        append(EventType.BELL, tag);
        controller.timerFired(tag);
    }

    @Override
    public void endpointListStarted(boolean isComplete, boolean isInitial) {
        append(EventType.LIST_OPENS, isComplete, isInitial);
        controller.endpointListStarted(isComplete, isInitial);
    }

    @Override
    public void endpointListed(
            long endpointId,
            int zone,
            int machineKind,
            double weight,
            double startedAt,
            EndpointState state) {
        append(EventType.LISTED, endpointId, zone, machineKind, weight, startedAt, state.ordinal());
        controller.endpointListed(endpointId, zone, machineKind, weight, startedAt, state);
    }

    @Override
    public void endpointListCompleted() {
        append(EventType.LIST_CLOSES);
        controller.endpointListCompleted();
    }

    @Override
    public void endpointListFailed() {
        append(EventType.LIST_FAILED);
        controller.endpointListFailed();
    }

    @Override
    public void healthCheckCompleted(long endpointId, HealthCheckResult result, double load) {
        append(EventType.PROBED, endpointId, result.ordinal(), load);
        controller.healthCheckCompleted(endpointId, result, load);
    }

    @Override
    public void endpointStatsReported(
            long endpointId, int attempts, int failedAttempts, double responseMillis, double load) {
        append(EventType.MET, endpointId, attempts, failedAttempts, responseMillis, load);
        controller.endpointStatsReported(
                endpointId, attempts, failedAttempts, responseMillis, load);
    }

    @Override
    public void acknowledged(int serial) {
        append(EventType.IN_FORCE, serial);
        controller.acknowledged(serial);
    }

    @Override
    public void demandReported(int proxyId, int classIndex, int requestCount, double spanMillis) {
        append(EventType.CAME, proxyId, classIndex, requestCount, spanMillis);
        controller.demandReported(proxyId, classIndex, requestCount, spanMillis);
    }

    @Override
    public void proxyJoined(int proxyId, int zone, double baselineDemand, boolean withoutTables) {
        append(EventType.JOINED, proxyId, zone, baselineDemand, withoutTables);
        controller.proxyJoined(proxyId, zone, baselineDemand, withoutTables);
    }

    @Override
    public void proxyLeft(int proxyId) {
        append(EventType.LEFT, proxyId);
        controller.proxyLeft(proxyId);
    }

    @Override
    public boolean decide(ControllerOutput output) {
        recordingOutput.delegate = output;
        boolean moreToDecide = controller.decide(recordingOutput);
        append(EventType.DECIDED, moreToDecide);
        return moreToDecide;
    }

    @Override
    public void endpointListed(double at, ListedEndpoint endpoint) {
        sink.append(
                at, EventType.ADDRESS, at, endpoint.id(), endpoint.host() + ":" + endpoint.port());
    }

    @Override
    public void proxyIdAssigned(double at, int proxyId, String name) {
        sink.append(at, EventType.NAMED, at, proxyId, name);
    }

    @Override
    public void loadReported(double at, LoadReport report) {
        sink.append(at, EventType.REPORT, at, report.proxyId(), report.spanMillis());
        report.endpointStats().forEach(stats -> recordEndpointStats(at, stats));
        for (int classIndex = 0; classIndex < report.requestsByClass().size(); classIndex++) {
            sink.append(
                    at,
                    EventType.REPORT_CAME,
                    classIndex,
                    report.requestsByClass().get(classIndex));
        }
    }

    private void recordEndpointStats(double at, LoadReport.EndpointStats stats) {
        sink.append(
                at,
                EventType.REPORT_MET,
                stats.endpointId(),
                stats.issued(),
                stats.completed(),
                stats.failed(),
                stats.totalResponseMillis(),
                stats.loadSum(),
                stats.loadSamples());
    }

    @Override
    public void updateSent(double at, ResourceUpdate update) {
        sink.append(
                at,
                EventType.SENT,
                at,
                update.stream.proxyId,
                update.id,
                update.type == null ? NETCONF_EDIT_TYPE : update.type.name(),
                update.entryCount());
    }

    @Override
    public void updateResultReceived(double at, int proxyId, long updateId, String rejection) {
        sink.append(
                at, EventType.ANSWERED, at, proxyId, updateId, rejection == null ? "" : rejection);
    }

    /** An output that records each order and then passes the order on to the current output. */
    private final class RecordingOutput implements ControllerOutput {
        private ControllerOutput delegate;

        @Override
        public void setWeight(int table, Endpoint endpoint, double weight) {
            append(EventType.LINE, table, endpoint.id, weight);
            delegate.setWeight(table, endpoint, weight);
        }

        @Override
        public void clearTable(int table) {
            append(EventType.CLEAR, table);
            delegate.clearTable(table);
        }

        @Override
        public void setEjected(Endpoint endpoint, boolean ejected) {
            append(EventType.WITHDRAW, endpoint.id, ejected);
            delegate.setEjected(endpoint, ejected);
        }

        @Override
        public void setAdmission(
                int table, RequestClass requestClass, double admittedShare, int retryPolicy) {
            append(EventType.LEVEL, table, requestClass.index, admittedShare, retryPolicy);
            delegate.setAdmission(table, requestClass, admittedShare, retryPolicy);
        }

        @Override
        public void bindProxy(int table, Proxy proxy, BitSet requestClasses) {
            append(EventType.BIND, table, proxy.id, requestClasses.toString());
            delegate.bindProxy(table, proxy, requestClasses);
        }

        @Override
        public void requestAcknowledgement(int serial) {
            append(EventType.RECEIPT, serial);
            delegate.requestAcknowledgement(serial);
        }

        @Override
        public void checkHealth(Endpoint endpoint) {
            append(EventType.PROBE, endpoint.id);
            delegate.checkHealth(endpoint);
        }

        @Override
        public void sendToPeers(byte[] message) {
            append(EventType.TELL_PEERS, new String(message, StandardCharsets.ISO_8859_1));
            delegate.sendToPeers(message);
        }

        @Override
        public void watchEndpointList() {
            append(EventType.WATCH_LIST);
            delegate.watchEndpointList();
        }

        @Override
        public void setTimer(int tag, double at) {
            append(EventType.TIMER, tag, at);
            delegate.setTimer(tag, at);
        }

        @Override
        public void log(DecisionEvent event) {
            append(EventType.LOG, event.text());
            delegate.log(event);
        }
    }
}
