package sprucelanding.runtime.server;

import com.eclipsesource.json.JsonObject;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sprucelanding.control.decision.ControllerOutput;
import sprucelanding.control.decision.DecisionEvent;
import sprucelanding.control.decision.Endpoint;
import sprucelanding.control.decision.Proxy;
import sprucelanding.control.decision.RequestClass;
import sprucelanding.control.decision.RoutingController;
import sprucelanding.control.distribution.ProxyUpdate;
import sprucelanding.control.distribution.TableDistributor;
import sprucelanding.control.settings.SettingsReader;
import sprucelanding.runtime.eventloop.EventLoop;

/**
 * Where all that is heard comes to the decision module, and its orders go out. Inputs only note;
 * the module decides at most once a tick, and what it orders then is one moment. The module's clock
 * is Unix time as of the start, going on monotonically.
 */
final class ControllerHost implements ControllerOutput {
    /** Words by which the soak finds failed decisions in the log. */
    static final String DECISION_FAILED_TEXT = "a decision failed";

    private final EventLoop loop;
    private final EventLog eventLog;
    private final RoutingController controller;
    private final TableDistributor distributor;
    private final EndpointDirectory endpoints;
    private final UpdateEncoder encoder;
    private final double epochOffsetMillis = System.currentTimeMillis() - EventLoop.nowMillis();
    private final double decisionIntervalMillis;
    private final LoadReportParser reportParser;
    private final HealthChecker healthChecker;
    private final List<String> requestClassNames;
    private final Map<Integer, UpdateStream> streamsByProxy = new HashMap<>();
    private boolean decisionScheduled;
    private long rejectedEntriesLogged;
    private double clockErrorLoggedMillis;
    private double lastDecisionMillis;

    ControllerHost(EventLoop loop, EventLog eventLog, SettingsReader settings, long seed) {
        this.loop = loop;
        this.eventLog = eventLog;
        controller = settings.newController(seed);
        decisionIntervalMillis = settings.decisionIntervalMillis();
        reportParser = new LoadReportParser(settings.loadField());
        healthChecker =
                new HealthChecker(
                        loop,
                        settings.hasLoadReports(),
                        settings.connectTimeoutMillis(),
                        reportParser,
                        (endpointId, result, load) ->
                                beginInput().healthCheckCompleted(endpointId, result, load));
        requestClassNames = settings.names("classes");
        endpoints = new EndpointDirectory(settings.names("zones"), settings.names("kinds"));
        distributor =
                new TableDistributor(
                        requestClassNames.size(),
                        Endpoint::mayBeEjectedElsewhere,
                        Endpoint::isAvailable);
        encoder =
                new UpdateEncoder(requestClassNames, endpoint -> endpoints.find(endpoint.id).uid());
        controller.setTime(unixMillis());
    }

    private double unixMillis() {
        return EventLoop.nowMillis() + epochOffsetMillis;
    }

    /** For an input that comes now. */
    private RoutingController beginInput() {
        controller.setTime(unixMillis());
        if (!decisionScheduled) {
            decisionScheduled = true;
            loop.scheduleAt(
                    Math.max(EventLoop.nowMillis(), lastDecisionMillis + decisionIntervalMillis),
                    this::decide);
        }
        return controller;
    }

    private void decide() {
        decisionScheduled = false;
        lastDecisionMillis = EventLoop.nowMillis();
        controller.setTime(unixMillis());
        try {
            while (controller.decide(this)) {
                continue;
            }
        } catch (RuntimeException e) {
            eventLog.logFailure(
                    new LogLine(ServerEvent.DECISION_FAILED).withText("text", DECISION_FAILED_TEXT),
                    e);
        }
        encoder.beginBatch();
        distributor.flush(this::sendUpdate);
        logRejectedEntries();
    }

    /**
     * One update that cannot be written ends its own stream, whose proxy then joins anew; the
     * others' updates go out.
     */
    private void sendUpdate(ProxyUpdate update) {
        UpdateStream stream = streamsByProxy.get(update.proxyId());
        if (stream == null) {
            return;
        }
        try {
            stream.write(encoder.encode(update), update.acknowledgementId());
        } catch (RuntimeException e) {
            eventLog.logFailure(
                    new LogLine(ServerEvent.UPDATE_FAILED).with("proxy", update.proxyId()), e);
            stream.fail("an update that cannot be written");
        }
    }

    private void logRejectedEntries() {
        if (distributor.rejectedEntries() > rejectedEntriesLogged) {
            rejectedEntriesLogged = distributor.rejectedEntries();
            eventLog.log(
                    new LogLine(ServerEvent.GUARD_REFUSED_LINE)
                            .with("total", rejectedEntriesLogged));
        }
    }

    /** Discovery's list or changes; first for the one held before this start. Throws Malformed. */
    boolean applyEndpointList(JsonObject list, ListOrigin origin) {
        boolean complete = endpoints.applyList(list, origin, unixMillis(), beginInput());
        eventLog.log(
                new LogLine(ServerEvent.ENDPOINTS_CHANGED)
                        .with("rev", endpoints.revision())
                        .with("whole", list.get(EndpointListUpdate.FULL).toString())
                        .with("entries", list.get(EndpointListUpdate.ENTRIES).asArray().size())
                        .with("ready", endpoints.readyCount()));
        if (endpoints.clockErrorMillis() != clockErrorLoggedMillis) {
            clockErrorLoggedMillis = endpoints.clockErrorMillis();
            eventLog.log(
                    new LogLine(ServerEvent.CLOCK_CORRECTED)
                            .with("ahead_ms", Math.round(clockErrorLoggedMillis)));
        }
        if (endpoints.removeGone(unixMillis(), distributor::hasEntryFor)) {
            distributor.forget(endpoint -> endpoints.find(endpoint.id) == null);
        }
        return complete;
    }

    long revision() {
        return endpoints.revision();
    }

    /** The zone's number; -1 if there is none of that name. */
    int zoneIndex(String name) {
        return endpoints.zoneIndex(name);
    }

    /** Whether discovery has ever named it. */
    boolean isKnownEndpoint(String uid) {
        return endpoints.find(uid) != null;
    }

    /** The product's number; -1 if there is none of that name. */
    int requestClassIndex(String name) {
        return requestClassNames.indexOf(name);
    }

    /** A proxy's stream begins; an earlier one of the proxy ends by that. */
    void proxyJoined(JoinMessage message, UpdateStream stream) {
        UpdateStream previous = streamsByProxy.put(message.proxyId(), stream);
        distributor.proxyJoined(message.proxyId(), message.withoutTables());
        beginInput()
                .proxyJoined(
                        message.proxyId(),
                        message.zoneIndex(),
                        message.expectedRate(),
                        message.withoutTables());
        if (previous != null) {
            previous.superseded();
        }
    }

    /** Its stream ended; nothing if a newer one of the proxy has begun. */
    void proxyLeft(int proxyId, UpdateStream stream) {
        if (streamsByProxy.remove(proxyId, stream)) {
            distributor.proxyLeft(proxyId);
            beginInput().proxyLeft(proxyId);
        }
    }

    /** Probes under way. */
    int healthChecksInFlight() {
        return healthChecker.inFlight();
    }

    void updateAcknowledged(int proxyId, int acknowledgementId) {
        beginInput().acknowledged(proxyId, acknowledgementId);
    }

    /**
     * What the proxies of a zone met at an endpoint.
     *
     * @throws sprucelanding.control.settings.MalformedInputException if its load report is
     *     malformed
     */
    void endpointStatsReported(HeardMessage message) {
        double load = reportParser.load(message.loadReport());
        beginInput()
                .endpointStatsReported(
                        endpoints.find(message.endpointUid()).id(),
                        message.attempts(),
                        message.failedAttempts(),
                        message.responseMillis(),
                        load);
    }

    /** Demand at a proxy. */
    void demandReported(UsageMessage message) {
        beginInput()
                .demandReported(
                        message.proxyId(),
                        message.classIndex(),
                        message.requestCount(),
                        message.windowMillis());
    }

    @Override
    public void setWeight(int table, Endpoint endpoint, double weight) {
        distributor.setWeight(table, endpoint, weight);
    }

    @Override
    public void clearTable(int table) {
        distributor.clearTable(table);
    }

    @Override
    public void setEjected(Endpoint endpoint, boolean ejected) {
        distributor.setEjected(endpoint, ejected);
    }

    @Override
    public void setAdmission(
            int table, RequestClass requestClass, double admittedShare, int retryPolicy) {
        distributor.setAdmission(table, requestClass, admittedShare, retryPolicy);
    }

    @Override
    public void bindProxy(int table, Proxy proxy, BitSet requestClasses) {
        distributor.bindProxy(table, proxy, requestClasses);
    }

    @Override
    public void requestAcknowledgement(int acknowledgementId) {
        distributor.requestAcknowledgement(acknowledgementId);
    }

    @Override
    public void checkHealth(Endpoint endpoint) {
        healthChecker.check(endpoints.find(endpoint.id));
    }

    @Override
    public void sendToPeers(byte[] payload) {
        // no decision asks for it
    }

    @Override
    public void watchEndpointList() {
        // the watch is always open
    }

    @Override
    public void setTimer(int timerId, double dueMillis) {
        loop.scheduleAt(dueMillis - epochOffsetMillis, () -> beginInput().timerFired(timerId));
    }

    @Override
    public void log(DecisionEvent event) {
        eventLog.log(event);
    }
}
