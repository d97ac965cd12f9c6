package sprucelanding.runtime.server;

import com.eclipsesource.json.JsonObject;
import java.util.List;
import sprucelanding.control.decision.Endpoint;
import sprucelanding.control.decision.RoutingController;
import sprucelanding.control.distribution.TableDistributor;
import sprucelanding.control.settings.SettingsReader;
import sprucelanding.runtime.eventloop.EventLoop;

/**
 * The host of the controller on the event loop. It receives all reports and passes them to the
 * controller. The controller decides at most once per tick, and the host sends the orders of a
 * decision as one batch of updates. All methods but the constructor are called on the event loop's
 * thread.
 */
final class ControllerHost implements SiteNames {
    /** The text by which the soak finds failed decisions in the log. */
    static final String DECISION_FAILED_TEXT = "a decision failed";

    private final EventLog eventLog;
    private final ControllerClock clock = new ControllerClock();
    private final RoutingController controller;
    private final DecisionScheduler scheduler;
    private final LoadReportParser reportParser;
    private final HealthChecker healthChecker;
    private final List<String> requestClassNames;
    private final EndpointDirectory endpoints;
    private final TableDistributor distributor;
    private final OrderForwarder orders;
    private final UpdateDispatcher dispatcher;
    private double clockErrorLoggedMillis;

    /**
     * Creates a controller without endpoints and proxies.
     *
     * @param seed the seed of the controller's random numbers
     * @throws sprucelanding.control.settings.MalformedInputException if the settings are invalid
     */
    ControllerHost(EventLoop loop, EventLog eventLog, SettingsReader settings, long seed) {
        this.eventLog = eventLog;
        controller = settings.newController(seed);
        controller.configureKeptEjections();
        controller.configureHeldUpdates();
        scheduler =
                new DecisionScheduler(
                        loop, clock, controller, settings.decisionIntervalMillis(), this::decide);
        reportParser = new LoadReportParser(settings.loadField());
        healthChecker =
                new HealthChecker(
                        loop,
                        settings.hasLoadReports(),
                        settings.connectTimeoutMillis(),
                        reportParser,
                        (endpointId, result, load) ->
                                scheduler
                                        .beginInput()
                                        .healthCheckCompleted(endpointId, result, load));
        requestClassNames = settings.names("classes");
        endpoints = new EndpointDirectory(settings.names("zones"), settings.names("kinds"));
        distributor =
                new TableDistributor(
                        requestClassNames.size(),
                        Endpoint::mayBeEjectedElsewhere,
                        Endpoint::isAvailable);
        orders = new OrderForwarder(distributor, healthChecker, endpoints, scheduler, eventLog);
        dispatcher =
                new UpdateDispatcher(
                        distributor,
                        new UpdateEncoder(
                                requestClassNames, endpoint -> endpoints.find(endpoint.id).uid()),
                        eventLog);
        controller.setTime(clock.nowMillis());
    }

    /**
     * Runs the controller's decisions until none is left, then sends the orders. The orders are
     * sent even if a decision fails.
     */
    private void decide() {
        try {
            while (controller.decide(orders)) {
                continue;
            }
        } catch (RuntimeException e) { // any fault of a decision: the governor keeps running
            eventLog.logFailure(
                    new LogLine(ServerEvent.DECISION_FAILED).withText("text", DECISION_FAILED_TEXT),
                    e);
        }
        dispatcher.sendUpdates(controller::holdsUpdates);
    }

    /**
     * Applies an endpoint list or changes of the list.
     *
     * @return false if some entries were malformed and the whole list has to be requested
     * @throws sprucelanding.control.settings.MalformedInputException if the list as a whole is
     *     malformed
     */
    boolean applyEndpointList(JsonObject list, ListOrigin origin) {
        boolean complete =
                endpoints.applyList(list, origin, clock.nowMillis(), scheduler.beginInput());
        logList(list);
        if (endpoints.withheldCount() > 0) {
            eventLog.log(
                    new LogLine(ServerEvent.DISCOVERY_LIST_OUTDATED)
                            .with("rev", endpoints.revision())
                            .with("withheld", endpoints.withheldCount()));
        }
        if (endpoints.removeGone(clock.nowMillis(), distributor::hasEntryFor)) {
            distributor.discardEndpoints(endpoint -> endpoints.find(endpoint.id) == null);
        }
        return complete;
    }

    private void logList(JsonObject list) {
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
    }

    /** Returns whether entries of the last list have not been applied because it is outdated. */
    boolean hasWithheldEntries() {
        return endpoints.withheldCount() > 0;
    }

    /** Returns the revision of the endpoint list; -1 while there is no list. */
    long revision() {
        return endpoints.revision();
    }

    @Override
    public int zoneIndex(String name) {
        return endpoints.zoneIndex(name);
    }

    @Override
    public boolean isKnownEndpoint(String uid) {
        return endpoints.find(uid) != null;
    }

    @Override
    public int requestClassIndex(String name) {
        return requestClassNames.indexOf(name);
    }

    /** Begins a proxy's stream. Ends the earlier stream of the proxy, if there is one. */
    void proxyJoined(JoinMessage message, UpdateStream stream) {
        UpdateStream previous = dispatcher.begin(message.proxyId(), stream);
        distributor.proxyJoined(message.proxyId(), message.withoutTables());
        scheduler
                .beginInput()
                .proxyJoined(
                        message.proxyId(),
                        message.zoneIndex(),
                        message.expectedRate(),
                        message.withoutTables());
        if (previous != null) {
            previous.superseded();
        }
    }

    /** Ends a proxy's stream. The proxy has left, unless a newer stream of it has begun. */
    void proxyLeft(int proxyId, UpdateStream stream) {
        if (dispatcher.end(proxyId, stream)) {
            distributor.proxyLeft(proxyId);
            scheduler.beginInput().proxyLeft(proxyId);
        }
    }

    /** Reports that a proxy has acknowledged an update and all earlier updates. */
    void updateAcknowledged(int proxyId, int acknowledgementId) {
        scheduler.beginInput().acknowledged(proxyId, acknowledgementId);
    }

    /** Returns the number of health checks in progress. Each of them uses a descriptor. */
    int healthChecksInFlight() {
        return healthChecker.inFlight();
    }

    /**
     * Reports the request statistics of a zone's proxies for an endpoint.
     *
     * @throws sprucelanding.control.settings.MalformedInputException if the load report in the
     *     message is malformed
     */
    void endpointStatsReported(EndpointStatsMessage message) {
        double load = reportParser.load(message.loadReport());
        scheduler
                .beginInput()
                .endpointStatsReported(
                        endpoints.find(message.endpointUid()).id(),
                        message.attempts(),
                        message.failedAttempts(),
                        message.responseMillis(),
                        load);
    }

    /** Reports the demand at a proxy. */
    void demandReported(UsageMessage message) {
        scheduler
                .beginInput()
                .demandReported(
                        message.proxyId(),
                        message.classIndex(),
                        message.requestCount(),
                        message.windowMillis());
    }
}
