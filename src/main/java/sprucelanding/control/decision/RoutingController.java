package sprucelanding.control.decision;

import java.util.SplittableRandom;

/**
 * Controller that decides what one governor sends to its proxies. A host passes the site's settings
 * to the constructor and calls each {@code configure} method once. At each event, the host calls
 * {@link #setTime} and the applicable input methods, which only record the event. The host then
 * calls {@link #decide} until that method returns false. Each call produces one order.
 *
 * <p>This class defines the order of the steps. The steps are in other classes of this package, see
 * the package's description.
 *
 * <p>Instances share no state and are not thread-safe. The same events lead to the same orders.
 * Times are ms on the host's clock.
 */
public final class RoutingController {
    /** Tag of the timer for the periodic update. */
    private static final int UPDATE_TIMER_TAG = 1;

    private final EventTime time = new EventTime();
    private final DecisionLog log = new DecisionLog();
    private final RequestClass[] requestClasses;
    private final ChannelBudget channel = new ChannelBudget(time);
    private final DrainTracker drains = new DrainTracker(Double.POSITIVE_INFINITY);
    private final ProxyRegistry proxies = new ProxyRegistry();
    private final AcknowledgementRequester acknowledgements =
            new AcknowledgementRequester(time, proxies, channel);
    private final JoinForecast joins = new JoinForecast(time, proxies);
    private final SlowStart slowStart = new SlowStart(time);
    private final SpeedPrior speedPrior = new SpeedPrior();
    private final LoadEstimator loads = new LoadEstimator(time, slowStart, speedPrior);
    private final RoutingTables tables;
    private final EndpointRegistry endpoints;
    private final HealthCheckScheduler healthChecks;
    private final WarmUpLimiter warmUpLimiter;
    private final SubsetAllocator subsets;
    private final OutputScheduler scheduler;
    private final DrainReporter drainReporter;
    private final StateUpdater updater;
    private boolean updateDue = true;

    /** True from a periodic update until all its changes have been sent. */
    private boolean canStartOrdinaryMessages;

    /**
     * Creates a controller without endpoints and proxies.
     *
     * @param random source of all random numbers
     * @param requestClasses request classes of the site, by index
     * @param zones number of zones of the site
     * @param admissionMode way in which the proxies of the site limit admitted requests
     */
    public RoutingController(
            SplittableRandom random,
            RequestClass[] requestClasses,
            int zones,
            AdmissionMode admissionMode) {
        this.requestClasses = requestClasses;
        tables = new RoutingTables(requestClasses, zones);
        endpoints = new EndpointRegistry(time, tables, drains, this::endpointUpdated);
        healthChecks = new HealthCheckScheduler(time, random);
        AdmissionController admission = new AdmissionController(time, requestClasses);
        warmUpLimiter =
                new WarmUpLimiter(
                        time,
                        tables,
                        slowStart,
                        new TableLoadEstimator(tables, slowStart, speedPrior, loads));
        WeightPolicy weights =
                new WeightPolicy(time, slowStart, speedPrior, loads, tables, requestClasses);
        subsets =
                new SubsetAllocator(
                        time, log, random, tables, proxies, loads, weights, this::tablesChanged);
        ControllerState state =
                new ControllerState(
                        time,
                        log,
                        requestClasses,
                        endpoints,
                        proxies,
                        tables,
                        channel,
                        drains,
                        joins,
                        slowStart,
                        loads,
                        weights,
                        admission,
                        warmUpLimiter,
                        healthChecks);
        scheduler = new OutputScheduler(state, random, admissionMode);
        drainReporter = new DrainReporter(time, log, proxies, channel, drains, scheduler);
        updater = new StateUpdater(state, subsets, scheduler, drainReporter);
    }

    /**
     * Configures the endpoint list and the warm-up of endpoints.
     *
     * @param pushed whether discovery sends the list without a request
     * @param softRemoval whether an endpoint that disappears from the list stays in use while it
     *     passes health checks
     * @param slowStartShare share of its capacity that an endpoint has immediately after its start
     * @param warmupTimeMs time until an endpoint has its full capacity
     */
    public void configureEndpointList(
            boolean pushed, boolean softRemoval, double slowStartShare, double warmupTimeMs) {
        endpoints.configure(softRemoval);
        slowStart.configure(slowStartShare, warmupTimeMs);
        if (!pushed) {
            healthChecks.pollEndpointList();
        }
    }

    /**
     * Configures the load at which an endpoint falls over during its warm-up.
     *
     * @param fallMultiple multiple of the endpoint's present capacity; ignored unless above 1
     */
    public void configureWarmUpLimit(double fallMultiple) {
        if (fallMultiple > 1) {
            warmUpLimiter.configure(fallMultiple);
        }
    }

    /**
     * Configures the limits of the channel to the proxies.
     *
     * @param entriesPerMs entries that the channel delivers per ms under normal conditions
     * @param messageOverhead fixed cost of a message, in entries
     * @param queueLimit maximum number of queued entries
     * @param messageLimit maximum number of messages to one proxy in a message span; 0 for no limit
     * @param messageSpanMs length of the message span
     */
    public void configureChannel(
            double entriesPerMs,
            double messageOverhead,
            double queueLimit,
            int messageLimit,
            double messageSpanMs) {
        channel.configure(entriesPerMs, messageOverhead, queueLimit, messageLimit, messageSpanMs);
    }

    /**
     * Configures the fleet, after {@link #configureChannel} and before any event.
     *
     * @param fleetProxies number of proxies of all governors; 0 if unknown
     * @param governors number of governors
     * @param drainGraceMs time until a proxy must stop sending requests to a removed endpoint, even
     *     if the proxy still uses tables of another governor; 0 if unknown
     * @param maxTransitTimeMs maximum time that a message takes to a proxy
     */
    public void configureFleet(
            int fleetProxies, int governors, double drainGraceMs, double maxTransitTimeMs) {
        double grace = drainGraceMs > 0 ? drainGraceMs : Double.POSITIVE_INFINITY;
        channel.removals().configure(maxTransitTimeMs, grace);
        channel.queue().configure(maxTransitTimeMs);
        drains.setGrace(grace);
        scheduler.configure(grace);
        joins.configure(fleetProxies, governors);
        subsets.configure(channel, joins.usualProxies(), requestClasses.length);
    }

    /**
     * Configures health checks and load reports.
     *
     * @param healthChecksAllowed whether the site allows health checks of endpoints
     * @param reportIntervalMs interval between two load reports of a proxy
     */
    public void configureReports(boolean healthChecksAllowed, double reportIntervalMs) {
        healthChecks.configure(healthChecksAllowed);
        loads.configure(reportIntervalMs);
    }

    /** Configures that proxies keep ejections by any governor until they are restored. */
    public void configureKeptEjections() {
        scheduler.configureKeptEjections();
    }

    /**
     * Configures that the host holds the updates of single proxies while {@link #holdsUpdates}, and
     * sends to each proxy only what concerns the proxy.
     */
    public void configureHeldUpdates() {
        channel.held().enable();
    }

    /**
     * Returns whether the updates of a proxy must be held for now. If not, everything that has been
     * held is sent with the next update.
     */
    public boolean holdsUpdates(int proxyId) {
        Proxy proxy = proxies.get(proxyId);
        return proxy != null && channel.held().contains(proxy);
    }

    /** Sets the time of the next events, ms. */
    public void setTime(double now) {
        time.advanceTo(now);
        scheduler.eventStarted();
    }

    /** Processes the expiry of the timer with the given tag. */
    public void timerFired(int tag) {
        updateDue |= tag == UPDATE_TIMER_TAG;
        healthChecks.timerFired(tag);
        channel.pacing().timerFired(tag);
    }

    /**
     * Begins an update of the endpoint list.
     *
     * @param complete whether the update is a complete list, so that other endpoints are gone
     * @param first whether the update is the first list since the start
     */
    public void endpointListStarted(boolean complete, boolean first) {
        endpoints.listStarted(complete, first);
    }

    /**
     * Adds or updates one endpoint of the current list update.
     *
     * @param id identifier, which is never used for another endpoint
     * @param zone index of the endpoint's zone
     * @param machineKind index of the endpoint's machine kind
     * @param weight listed weight, relative to those of the other endpoints
     * @param startedAt start time on the host's clock, ms; 0 if the endpoint started long ago
     */
    public void endpointListed(
            long id,
            int zone,
            int machineKind,
            double weight,
            double startedAt,
            EndpointState state) {
        endpoints.listed(id, zone, machineKind, weight, startedAt, state);
    }

    /** Corrects a start time that was based on a wrong clock. The endpoint was not restarted. */
    public void startTimeCorrected(long id, double startedAt) {
        endpoints.startTimeCorrected(id, startedAt);
    }

    /** Ends the current update of the endpoint list. */
    public void endpointListCompleted() {
        endpoints.listCompleted();
    }

    /** Processes the failure of a request for the endpoint list. */
    public void endpointListFailed() {
        healthChecks.retryEndpointList();
    }

    /**
     * Processes the result of a health check.
     *
     * @param load share of busy cores that the endpoint reported; NaN if none
     */
    public void healthCheckCompleted(long id, HealthCheckResult result, double load) {
        Endpoint endpoint = endpoints.find(id);
        if (endpoint != null) {
            endpoint.healthChecks().completed(result);
            loads.healthCheckReported(endpoint, result, load);
            endpoints.healthCheckCompleted(endpoint, result);
        }
    }

    /**
     * Processes load reports of proxies about one endpoint, covering the time since their last
     * reports.
     *
     * @param attempts number of attempts at the endpoint
     * @param failed number of attempts that failed
     * @param responseTime mean response time of the successful attempts, ms
     * @param load share of busy cores that the endpoint reported; NaN if none
     */
    public void endpointStatsReported(
            long id, int attempts, int failed, double responseTime, double load) {
        Endpoint endpoint = endpoints.find(id);
        if (endpoint != null) {
            loads.requestsReported(endpoint, attempts, failed, responseTime, load);
        }
    }

    /** Processes a proxy's acknowledgement of the message with the given request number. */
    public void acknowledged(int proxy, int acknowledgement) {
        drainReporter.enable();
        drains.acknowledged(proxy, channel.queue().messageAcknowledgedBy(acknowledgement));
        channel.queue().acknowledged(proxy, acknowledgement);
    }

    /** Processes an acknowledgement from an unidentified proxy. */
    public void acknowledged(int acknowledgement) {
        channel.queue().acknowledged(acknowledgement);
    }

    /** Returns the number of entries that may be queued in the channel. */
    public double queuedEntries() {
        return channel.queue().entries();
    }

    /** Returns the number of known endpoints, available or not. */
    public int knownEndpointCount() {
        return endpoints.size();
    }

    /**
     * Processes a demand report of a proxy. A report with a figure out of range is ignored.
     *
     * @param requestClass index of the request class
     * @param count number of requests that arrived in the reported interval
     * @param intervalMs length of the reported interval
     */
    public void demandReported(int proxyId, int requestClass, int count, double intervalMs) {
        Proxy proxy = proxies.get(proxyId);
        boolean isKnownClass = requestClass >= 0 && requestClass < requestClasses.length;
        if (proxy != null && isKnownClass && InputLimits.isDemandReport(count, intervalMs)) {
            proxy.demandReported(requestClass, count / intervalMs * 1000);
        }
    }

    /**
     * Processes the start of a proxy's stream, which ends any earlier stream of the proxy.
     *
     * @param zone index of the proxy's zone
     * @param demand expected requests per second to the proxy
     * @param unconfigured whether the proxy still uses its initial tables, and no governor has
     *     configured it
     */
    public void proxyJoined(int id, int zone, double demand, boolean unconfigured) {
        proxyLeft(id);
        double demandByClass = InputLimits.limitedDemand(demand) / requestClasses.length;
        Proxy proxy =
                new Proxy(id, zone, unconfigured, time.now(), demandByClass, requestClasses.length);
        proxies.add(proxy);
        subsets.assign(proxy);
        drains.proxyJoined(id, time.now(), channel.queue().nextMessageNumber());
        joins.proxyJoined();
        scheduler.proxyJoined(proxy);
    }

    /** Processes the end of a proxy's stream. Has no effect if the proxy has not joined. */
    public void proxyLeft(int id) {
        Proxy proxy = proxies.remove(id);
        drains.proxyLeft(id);
        if (proxy != null) {
            channel.held().remove(proxy);
            scheduler.proxyLeft(proxy);
            tables.proxyLeft(proxy);
        }
    }

    /**
     * Passes the next order to the host.
     *
     * @return false if there are no more orders until the next event
     */
    public boolean decide(ControllerOutput output) {
        if (endpoints.hasChanged() || updateDue) {
            scheduler.weightsChanged();
        }
        if (updateDue) {
            scheduler.tablesChanged();
        }
        if (endpoints.takeChanged()) {
            updater.updateFromEndpointList();
        }
        if (updateDue) {
            updateDue = false;
            canStartOrdinaryMessages = true;
            time.updateStarted();
            // Set the timer first, so that a failed update is not the last one.
            output.setTimer(UPDATE_TIMER_TAG, time.now() + EventTime.UPDATE_INTERVAL_MS);
            updater.periodicUpdate();
            return true;
        }
        if (!log.isEmpty()) {
            output.log(log.poll());
            return true;
        }
        if (scheduler.sendNext(output, endpoints.all(), canStartOrdinaryMessages)) {
            return true;
        }
        canStartOrdinaryMessages = false;
        return acknowledgements.requestNext(output)
                || healthChecks.setTimer(output)
                || channel.pacing().setTimer(output);
    }

    private void endpointUpdated(Endpoint endpoint) {
        scheduler.endpointUpdated(endpoint);
    }

    private void tablesChanged() {
        scheduler.weightsChanged();
        scheduler.tablesChanged();
    }
}
