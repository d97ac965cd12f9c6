package sprucelanding.control.decision;

import java.util.*;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import sprucelanding.control.decision.ChannelBudget.Purpose;

/**
 * Decides what one governor tells its proxies. The host opens it with what the site states (the
 * constructor, then roll, channel and reports, once each). At each event it calls clock, then the
 * inputs, which only note what is known, and then decide until that says false; each call gives one
 * order of those in Orders. Weights follow docs/design.md: halfway steps to inverse load, zeroing
 * past a threshold, removals first. Times: ms.
 */
public final class RoutingController {
    /** The timer of the periodic turn. */
    private static final int PERIODIC_UPDATE_TIMER = 1;

    /** The timer of probes and requests for the list. */
    private static final int SCHEDULED_CHECK_TIMER = 2;

    /** Numbers of parts start anew past that. */
    private static final int SUBSET_TABLE_NUMBERS = 60_000;

    /** A time long past. */
    private static final double NEVER = Double.NEGATIVE_INFINITY;

    /** ms between two turns: weights move once in each. */
    private static final double UPDATE_INTERVAL = 1000;

    /** ms over which evidence of a server's speed fades. */
    private static final double SPEED_EVIDENCE_DECAY = 6000;

    /** The same while levels are down: full queues blur what a try tells. */
    private static final double OVERLOAD_SPEED_EVIDENCE_DECAY = 18_000;

    /** ms over which evidence of a server's health fades. */
    private static final double HEALTH_EVIDENCE_DECAY = 2500;

    /** The part of an average server's evidence that the listed weight counts for. */
    private static final double PRIOR_EVIDENCE_SHARE = 0.3;

    /**
     * ms in which a governor's usual proxies have to get their tables, else each goes by a part: as
     * long as what is ordered takes until it shows in the reports that weights are steered by.
     */
    private static final double TABLE_ROLLOUT_TIME = 4000;

    /** The design's weight at full load. */
    private static final double FULL_LOAD_WEIGHT = 100;

    /** The design's least load that counts. */
    private static final double MIN_LOAD = 0.05;

    /** The design's weight of a server that comes in, of the mean. */
    private static final double SLOW_START_SHARE = 0.1;

    /** The design's growth of such a weight at most, a turn. */
    private static final double MAX_SLOW_START_GROWTH = 1.5;

    /** The design's least change of a weight that is sent, of the weight. */
    private static final double MIN_WEIGHT_CHANGE = 0.1;

    /** The load while none is known. */
    private static final double DEFAULT_LOAD = 0.5;

    /** Load past which a weight shrinks at once. */
    private static final double BUSY_LOAD = AdmissionController.BUSY_LOAD;

    /** Load past which queues grow. */
    private static final double SATURATED_LOAD = AdmissionController.SATURATED_LOAD;

    /** Load past which a server is zeroed. */
    private static final double ZEROING_LOAD = 0.95;

    /** A weight shrinks only at a load of that many times the mean. */
    private static final double SHRINK_LOAD_RATIO = 1.25;

    /** A server is zeroed only at a load of that many times the mean. */
    private static final double ZEROING_LOAD_RATIO = 1.5;

    /** Probes missed in a row until a server is out; a refused connection counts twice. */
    private static final int MISSED_CHECKS_TO_EJECT = 4;

    /** Part of a table that stays, however many servers are silent. */
    private static final double MIN_REMAINING_UNRESPONSIVE = 0.25;

    /** Part of a table that stays, however many servers are sick or full. */
    private static final double MIN_REMAINING_OUTLIERS = 0.5;

    /** Part of a server's tries voided beyond the fleet's share until it is sick. */
    private static final double OUTLIER_FAILURE_SHARE = 0.35;

    /** What a saturated server is spared of that. */
    private static final double SATURATED_FAILURE_ALLOWANCE = 0.3;

    /** Mean load below which a few silent servers are out though they settle txns. */
    private static final double CALM_LOAD = 0.7;

    /** Part of a zone's servers that are silent if the zone is. */
    private static final double ZONE_OUTAGE_SHARE = 0.8;

    /** Part of the fleet, or of its traffic, that counts as few. */
    private static final double MINORITY_SHARE = 0.15;

    /** ms that a sick server is out at first; doubled each time it comes again. */
    private static final double BASE_EJECTION_TIME = 4000;

    /** ms that a sick server is out at most. */
    private static final double MAX_EJECTION_TIME = 16_000;

    /** ms of quiet at most before tables of few servers grow; an eighth of it at first. */
    private static final double MAX_GROWTH_BACKOFF = 40_000;

    /** Turns until what was ordered shows in the reports. */
    private static final int REPORT_LAG_UPDATES = 3;

    /** Turns that a governor looks at the load before it binds proxies that hold orders. */
    private static final int OBSERVATION_UPDATES = 1;

    /** A figure that limits nothing. */
    private static final double UNLIMITED = AdmissionController.UNLIMITED_RATE;

    /** Shares of the channel's limits: ordinary orders. */
    private static final double ORDINARY_SHARE = ChannelBudget.ORDINARY_SHARE;

    /** The same for what health and binds ask for. */
    private static final double URGENT_SHARE = ChannelBudget.URGENT_SHARE;

    /** The same for levels under overload and tables that lost most of their weight. */
    private static final double CRITICAL_SHARE = ChannelBudget.CRITICAL_SHARE;

    /** The same for what the rules ask for. */
    private static final double FULL_SHARE = ChannelBudget.FULL_SHARE;

    /** Part of the channel's stated pace that is trusted where nothing is measured. */
    private static final double TRUSTED_RATE_SHARE = ChannelBudget.TRUSTED_RATE_SHARE;

    /** Rank of a line that the rules ask for. */
    private static final double RANK_REMOVAL = 4;

    /** Rank of a line that fills a table which lost most of its weight. */
    private static final double RANK_REFILL = 3;

    /** Rank of a cut that health asks for. */
    private static final double RANK_EJECTION = 2;

    /** Rank of a line that brings a server in. */
    private static final double RANK_ADDITION = 1;

    /** Mean weights moved that count for a whole rank. */
    private static final double WEIGHTS_PER_RANK = 8;

    /** ms between two probes of a server at the soonest. */
    private static final double HEALTH_CHECK_INTERVAL = 1000;

    /** Probes for each txn at the most. */
    private static final double HEALTH_CHECKS_PER_REQUEST = 0.25;

    /** Part of the warming during which a server may have to wait for its line. */
    private static final double EARLY_WARMUP_SHARE = 0.5;

    /** Part of tries voided past which such servers wait. */
    private static final double HOLD_WARMING_FAILURE_SHARE = 0.15;

    /**
     * Part of tries voided at most servers, though they have load to spare, that shows a want of
     * connections.
     */
    private static final double CONNECTION_SHORTAGE_FAILURE_SHARE = 0.3;

    /** Servers in a part, of those that its traffic needs. */
    private static final double SUBSET_CAPACITY_FACTOR = 1.5;

    /** Servers in a part at least, where connections are short. */
    private static final int MIN_SUBSET_SIZE = 3;

    /** Proxies with little traffic that share such a part. */
    private static final int PROXIES_PER_SUBSET = 2;

    /** Servers in a part at least, where the channel is short. */
    private static final int MIN_CHANNEL_SUBSET_SIZE = 16;

    /** Parts that each server is in, where the channel is short. */
    private static final int SUBSETS_PER_ENDPOINT = 4;

    /** ms between two rounds of withdrawals. */
    private static final double EJECTION_INTERVAL = 500;

    /** ms after which a server that left is forgotten, if no table holds it. */
    private static final double FORGET_AFTER = 60_000;

    /** Removals past their deadline that are logged one by one, of those found at one turn. */
    private static final int MAX_OVERDUE_LOGGED = 3;

    /** Deadlines of binds that lie closer together than that count as equal, ms. */
    private static final double DEADLINE_WINDOW = 250;

    /**
     * Joinings within that time, ms, which are a rush if they are more than that part of a
     * governor's usual proxies.
     */
    private static final double RUSH_WINDOW = 1000;

    private static final double RUSH_SHARE = 0.1;
    private static final int MIN_RUSH_JOINS = 8; // joinings

    /**
     * Where more proxies than that wait to be bound, those that join are put in order that often
     * only, ms.
     */
    private static final int MIN_UNBOUND_TO_DELAY_PLAN = 32;

    private static final double PLAN_INTERVAL = 100;

    /** Part of the channel that levels may take: each new one costs a message to every proxy. */
    private static final double ADMISSION_CHANNEL_SHARE = 0.5;

    /** Part of the channel that moves proxies from starter tables to their regular ones. */
    private static final double STARTER_RELEASE_CHANNEL_SHARE = 0.5;

    private final SplittableRandom random;
    private final RequestClass[] requestClasses;
    private boolean healthChecksEnabled, softRemoval;
    private final AdmissionMode admissionMode;
    private final AdmissionController admission;
    private final ChannelBudget channel = new ChannelBudget(UPDATE_INTERVAL);
    private final SpeedPrior speedPrior = new SpeedPrior();
    private double slowStartShare, warmupTime, reportInterval;
    private DrainTracker drainTracker = new DrainTracker(Double.POSITIVE_INFINITY);

    /** The host says which proxy acknowledged; without that it is not known what is overdue. */
    private boolean acknowledgementsNameProxy;

    private double drainGrace = Double.POSITIVE_INFINITY; // ms to stop sending to what left
    private int fleetProxies; // in all, 0 if unknown
    private double expectedProxies; // of one governor
    private final ArrayDeque<Double> recentJoins = new ArrayDeque<>(); // of the last while
    private final StarterTables starterTables = new StarterTables();
    private boolean bindsMeetDeadlines = true; // as last planned
    private double bindDeadline = Double.POSITIVE_INFINITY; // the earliest of those not bound yet
    private double affordableTableSize =
            UNLIMITED; // lines of a table that reach all proxies in time
    private double statsSettlingTime,
            maxReportAge; // until what a new proxy meets was reported; a load's age that tells
    // nothing
    private double now, nextCheckTimer = -NEVER;
    private long scheduledChecks, updateCount;
    private final Map<Long, Endpoint> endpoints = new LinkedHashMap<>();
    private List<Endpoint> availableEndpoints = List.of(); // the replicas listed as ready
    private final Set<Endpoint> listedNow = new LinkedHashSet<>();
    private final TreeMap<Integer, Proxy> proxies = new TreeMap<>();
    private final List<RoutingTable> fullTables = new ArrayList<>(),
            tables = new ArrayList<>(); // those, with parts
    private final ArrayDeque<Endpoint> pendingEjections =
            new ArrayDeque<>(); // what was listed, or left the list
    private final Set<Endpoint> repeatedEjections =
            new LinkedHashSet<>(); // to withdraw once more, for late joiners
    private final ArrayDeque<String> logLines = new ArrayDeque<>();
    private final TreeSet<ScheduledCheck> dueChecks = new TreeSet<>();
    private boolean updateDue = true,
            endpointsChanged,
            ordinaryUpdates,
            statsReceived,
            completeList,
            firstList,
            listChanged,
            proxiesJoinedLate;
    private boolean ejectionsBlocked;
    private boolean holdWarming =
            true; // cold ones get no line: in a jam, all that proxies shun goes there
    private List<RoutingTable.TableEntry>
            pendingEntries; // what waits to be ordered, in turn; null once that may have changed
    private ArrayDeque<Proxy> unboundProxies; // to bind, in turn; null if that is not known
    private boolean planOutdated; // some have joined since that was known
    private double lastPlanTime = NEVER;
    private double meanLoad, failureShare;
    private int subsetSize,
            restingSubsetSize,
            subsetTablesCreated; // servers in a part, 0 if tables are whole; at rest; parts laid so
    // far
    private double lastAllocationTime = NEVER,
            lastEjectionTime = NEVER,
            growthBackoff = MAX_GROWTH_BACKOFF / 8;
    private int bindsOrdered;
    private double lastEntryTime = NEVER;

    /**
     * Products open to the same replicas share one table; own-zone products have one for each zone.
     */
    public RoutingController(
            SplittableRandom chance,
            RequestClass[] requestClasses,
            int zones,
            AdmissionMode admission) {
        this.random = chance;
        this.requestClasses = requestClasses;
        this.admissionMode = admission;
        this.admission = new AdmissionController(requestClasses);
        Map<List<Object>, RoutingTable> alike = new LinkedHashMap<>();
        for (RequestClass requestClass : requestClasses) {
            for (int home = requestClass.ownZoneOnly ? 0 : -1;
                    home < (requestClass.ownZoneOnly ? zones : 0);
                    home++) {
                RoutingTable next =
                        new RoutingTable(
                                alike.size(), requestClass, home, null, requestClasses.length);
                alike.computeIfAbsent(
                                List.of(requestClass.kinds, requestClass.zones, home), x -> next)
                        .requestClasses
                        .set(requestClass.index);
            }
        }
        fullTables.addAll(alike.values());
        tables.addAll(fullTables);
    }

    public void configureEndpointList(
            boolean pushed, boolean softRemoval, double coldFrom, double warmAfter) {
        this.softRemoval = softRemoval;
        this.slowStartShare = coldFrom;
        this.warmupTime = warmAfter;
        if (!pushed) {
            scheduleCheck(NEVER, null);
        }
    }

    public void configureChannel(
            double linesPerMs, double head, double queueCap, int messageCap, double messageSpan) {
        channel.configure(linesPerMs, head, queueCap, messageCap, messageSpan);
    }

    /**
     * How many proxies the governors share, and ms until one has to stop sending to what left:
     * whatever it brings from elsewhere, its own table must reach it by then (0: unknown). Transit:
     * a message's most ms.
     */
    public void configureFleet(int proxies, int governors, double grace, double transit) {
        channel.maxTransitTime(transit);
        this.drainGrace = grace > 0 ? grace : Double.POSITIVE_INFINITY;
        drainTracker = new DrainTracker(this.drainGrace);
        fleetProxies = proxies;
        expectedProxies = (double) proxies / Math.max(1, governors);
        double each =
                expectedProxies > 0
                        ? TABLE_ROLLOUT_TIME
                                * channel.configuredRate()
                                * TRUSTED_RATE_SHARE
                                / expectedProxies
                        : 0;
        affordableTableSize =
                each > 0
                        ? each - channel.totalMessageOverhead() - 1 - requestClasses.length
                        : UNLIMITED;
    }

    public void configureReports(boolean probes, double every) {
        this.healthChecksEnabled = probes;
        this.reportInterval = every;
        statsSettlingTime = 3 * every;
        maxReportAge = 2 * every + HEALTH_CHECK_INTERVAL;
    }

    public void setTime(double now) {
        this.now = now;
        channel.setTime(now);
    }

    public void timerFired(int tag) {
        updateDue |= tag == PERIODIC_UPDATE_TIMER;
        nextCheckTimer = tag == SCHEDULED_CHECK_TIMER ? -NEVER : nextCheckTimer;
    }

    public void endpointListStarted(boolean whole, boolean first) {
        completeList = whole;
        firstList = first;
        listedNow.clear();
        endpointsChanged = listChanged = true;
    }

    public void endpointListed(
            long id, int zone, int kind, double weight, double startedAt, EndpointState stage) {
        boolean known = endpoints.containsKey(id);
        Endpoint endpoint = endpoints.computeIfAbsent(id, Endpoint::new);
        // one that has been watched since it came, and was ready throughout, no other governor can
        // have withdrawn
        endpoint.mayBeEjectedElsewhere |=
                stage != EndpointState.AVAILABLE
                        || startedAt > 0 && (known || updateCount <= OBSERVATION_UPDATES);
        endpoint.enteringService |=
                stage == EndpointState.AVAILABLE
                        && (!endpoint.isListed() || startedAt > endpoint.startedAt);
        endpoint.updateListing(zone, kind, weight, startedAt);
        stageChanged(endpoint, stage);
        listedNow.add(endpoint);
    }

    /** The time of its start was told by a clock that was wrong; it is no new start. */
    public void startTimeCorrected(long id, double startedAt) {
        Endpoint endpoint = endpoints.get(id);
        if (endpoint != null) {
            endpoint.startedAt = startedAt;
        }
    }

    /**
     * Where a drop alone does not bind, a replica that answers keeps its line: the list may be
     * wrong.
     */
    private void stageChanged(Endpoint endpoint, EndpointState told) {
        pendingEjections.add(endpoint);
        endpoint.mayBeEjectedElsewhere |= told != EndpointState.AVAILABLE;
        boolean serves =
                softRemoval
                        && endpoint.isListed()
                        && endpoint.missedChecks == 0
                        && !endpoint.ejected;
        boolean leaves =
                endpoint.isListed()
                        || endpoint.removedAt
                                == NEVER; // also one that is first heard of as it leaves
        endpoint.removedAt = leaves ? now : endpoint.removedAt;
        enterState(endpoint, told == EndpointState.GONE && serves ? EndpointState.MISSING : told);
    }

    /**
     * Enters the next stage of the endpoint's life; from a removal on, those that hold a line of it
     * owe its removal.
     */
    private void enterState(Endpoint endpoint, EndpointState next) {
        endpoint.state = next;
        if (endpoint.isListed()) {
            drainTracker.endpointRestored(endpoint.id);
            return;
        }
        drainTracker.endpointRemoved(endpoint.id, now);
        for (RoutingTable table : tables) {
            if (table.contains(endpoint)) {
                table.users.forEach(proxy -> drainTracker.owes(proxy.id, endpoint.id));
            }
        }
    }

    public void endpointListCompleted() {
        if (completeList) {
            endpoints.values().stream()
                    .filter(endpoint -> !listedNow.contains(endpoint))
                    .forEach(endpoint -> stageChanged(endpoint, EndpointState.GONE));
        }
    }

    public void endpointListFailed() {
        scheduleCheck(now + HEALTH_CHECK_INTERVAL * (0.3 + random.nextDouble()), null);
    }

    public void healthCheckCompleted(long id, HealthCheckResult answer, double load) {
        Endpoint endpoint = endpoints.get(id);
        if (endpoint != null) {
            boolean missed =
                    answer != HealthCheckResult.OK
                            && answer != HealthCheckResult.BUSY
                            && answer != HealthCheckResult.NOT_PERFORMED;
            endpoint.checkCompleted(
                    answer == HealthCheckResult.OK,
                    !missed ? 0 : answer == HealthCheckResult.UNREACHABLE ? 2 : 1);
            endpoint.lastCheckReportAt = load >= 0 ? now : endpoint.lastCheckReportAt;
            endpoint.loadReported(
                    answer == HealthCheckResult.TIMED_OUT && completesRequests(endpoint) ? 1 : load,
                    now);
            if (endpoint.state == EndpointState.MISSING && missed) {
                enterState(endpoint, EndpointState.GONE);
            }
            endpointsChanged = true;
        }
    }

    public void endpointStatsReported(
            long id, int attempts, int failed, double answerTime, double load) {
        Endpoint endpoint = endpoints.get(id);
        if (endpoint != null && attempts > 0 && now >= endpoint.ignoreReportsUntil) {
            endpoint.requestsReported(
                    attempts,
                    Math.max(0, Math.min(failed, attempts)),
                    Math.max(0, answerTime),
                    now);
            endpoint.loadReported(
                    now - endpoint.lastCheckReportAt < maxReportAge / 2 ? Double.NaN : load,
                    now); // a probe's is newer
            statsReceived = true;
        }
    }

    /** The same, for a host that knows which proxy has applied it. */
    public void acknowledged(int proxy, int serial) {
        acknowledgementsNameProxy = true;
        drainTracker.acknowledged(proxy, channel.messageAcknowledgedBy(serial));
        channel.acknowledged(proxy, serial);
    }

    /** Messages leave in order: all that was booked before this one has left. */
    public void acknowledged(int serial) {
        channel.acknowledged(serial);
    }

    /** Lines that may wait in the channel. */
    public double queuedLines() {
        return channel.queuedLines();
    }

    /** Replicas in its books: a figure for the host's log. */
    public int knownEndpoints() {
        return endpoints.size();
    }

    public void demandReported(int proxy, int product, int count, double span) {
        Proxy p = proxies.get(proxy);
        if (p != null
                && product >= 0
                && product < requestClasses.length
                && span > 0
                && count >= 0) {
            p.demand[product] += (count / span * 1000 - p.demand[product]) / 2;
        }
    }

    public void proxyJoined(int id, int zone, double usual, boolean bare) {
        proxyLeft(id);
        double each = Math.max(0, usual) / requestClasses.length;
        proxies.put(id, new Proxy(id, zone, bare, now, each, requestClasses.length));
        assignSubset(proxies.get(id));
        drainTracker.proxyJoined(id, now, channel.nextMessage());
        recentJoins.addLast(now);
        planOutdated = true;
        proxiesJoinedLate = true;
    }

    public void proxyLeft(int id) {
        Proxy gone = proxies.remove(id);
        drainTracker.proxyLeft(id);
        if (gone != null) {
            starterTables.release(gone);
        }
        tables.forEach(table -> table.removeProxy(gone));
    }

    public boolean decide(ControllerOutput output) {
        pendingEntries = endpointsChanged || updateDue ? null : pendingEntries;
        unboundProxies = updateDue ? null : unboundProxies;
        if (endpointsChanged) {
            endpointsChanged = false;
            followEndpointList();
            ejectUnresponsive();
        }
        if (updateDue) {
            updateDue = false;
            ordinaryUpdates = true;
            updateCount++;
            output.setTimer(
                    PERIODIC_UPDATE_TIMER,
                    now + UPDATE_INTERVAL); // first: a turn that fails must not be the last
            periodicUpdate();
            return true;
        }
        if (!logLines.isEmpty()) {
            output.log(logLines.poll());
            return true;
        }
        if (sendDueCheck(output)
                || sendEjection(output)
                || !ejectionsBlocked
                        && (sendClear(output)
                                || sendStarterTable(output)
                                || hasBindDeadline() && sendBind(output)
                                || admission.overloaded() && sendAdmission(output)
                                || sendEntry(output)
                                || sendBind(output)
                                || sendAdmission(output))) {
            return true;
        }
        ordinaryUpdates = false;
        if (channel
                .hasOpenBatch()) { // what comes in force tells how much of the channel has drained
            output.requestAcknowledgement(
                    channel.closeBatch(
                            sum(proxies.values(), proxy -> proxy.hasMessageAt(now) ? 1 : 0)));
            return true;
        }
        if (!dueChecks.isEmpty() && dueChecks.first().at() < nextCheckTimer) {
            nextCheckTimer = dueChecks.first().at();
            output.setTimer(SCHEDULED_CHECK_TIMER, nextCheckTimer);
            return true;
        }
        return false;
    }

    private boolean sendDueCheck(ControllerOutput output) {
        if (dueChecks.isEmpty() || dueChecks.first().at() > now) {
            return false;
        }
        Endpoint endpoint = dueChecks.pollFirst().replica();
        if (endpoint == null) {
            output.watchEndpointList();
        } else {
            output.checkHealth(endpoint);
        }
        return true;
    }

    /**
     * Shuts what left out of tables that unbound proxies brought, or of several tables by one line
     * each.
     */
    private boolean sendEjection(ControllerOutput output) {
        ejectionsBlocked = false;
        if (lastEjectionTime < now && now - lastEjectionTime < EJECTION_INTERVAL) {
            return false;
        }
        List<Proxy> strangers =
                pendingEjections.isEmpty() && !proxiesJoinedLate
                        ? List.of()
                        : proxies.values().stream()
                                .filter(proxy -> proxy.tables.isEmpty())
                                .toList();
        if (proxiesJoinedLate) { // the withdrawals of before never reached those that joined since
            proxiesJoinedLate = false;
            repeatedEjections.clear();
            endpoints.values().stream()
                    .filter(
                            endpoint ->
                                    !endpoint.isListed() && now - endpoint.removedAt < FORGET_AFTER)
                    .forEach(repeatedEjections::add);
            pendingEjections.addAll(repeatedEjections);
        }
        double all =
                (strangers.size() + expectedJoins())
                        * (channel.totalMessageOverhead() + pendingEjections.size());
        if (strangers.stream().noneMatch(proxy -> isBoundTooLate(proxy, all))) {
            strangers = List.of(); // their binds settle it in time, or sooner
        }
        boolean loose =
                !pendingEjections.isEmpty() && (fullTables.size() > 1 || !strangers.isEmpty());
        pendingEjections.removeIf(
                endpoint ->
                        endpoint.isListed()
                                ? !endpoint.ejectedEverywhere
                                : endpoint.ejectedEverywhere
                                                && !repeatedEjections.contains(endpoint)
                                        || !loose);
        Endpoint endpoint =
                pendingEjections.stream()
                        .filter(RoutingController::isInNoTable)
                        .findFirst()
                        .orElse(pendingEjections.peek());
        if (endpoint == null) {
            return false;
        }
        Collection<Proxy> to = isInNoTable(endpoint) ? strangers : proxies.values();
        // Many go in one message; until there is room for it, nothing else takes that. Nor may they
        // use up
        // a proxy's messages by themselves: past some they go evenly.
        double together =
                Math.min(
                        pendingEjections.size(),
                        ORDINARY_SHARE * channel.queueLimit() / Math.max(1, to.size())
                                - channel.totalMessageOverhead());
        boolean used = to.stream().anyMatch(channel::isMessageLimitNear);
        if (channel.hasMessageLimit()
                && used
                && lastEjectionTime < now
                && now - lastEjectionTime < channel.messageInterval()) {
            return false;
        }
        ejectionsBlocked =
                lastEjectionTime < now
                        && !channel.hasRoom(to, Math.max(1, (int) together), FULL_SHARE);
        if (ejectionsBlocked || !channel.book(to, 1, FULL_SHARE, Purpose.WITHDRAWAL)) {
            return false;
        }
        lastEjectionTime = now;
        pendingEjections.remove(endpoint);
        repeatedEjections.remove(endpoint);
        endpoint.ejectedEverywhere = !endpoint.isListed();
        if (endpoint.ejectedEverywhere) {
            drainTracker.ejectedEverywhere(endpoint.id, channel.nextMessage());
        }
        output.setEjected(endpoint, endpoint.ejectedEverywhere);
        return true;
    }

    /**
     * Whether a proxy that is not bound yet may get its tables too late for what left, and a
     * withdrawal may not.
     */
    private boolean isBoundTooLate(Proxy proxy, double withdrawal) {
        if (drainGrace == Double.POSITIVE_INFINITY) {
            return true; // it is not known what is late
        }
        double deadline = drainTracker.bindDeadline(proxy.id) - channel.maxTransitTime();
        double from = isReadyToBind(proxy) ? now : now + UPDATE_INTERVAL;
        return (!bindsMeetDeadlines || deadline < from + UPDATE_INTERVAL)
                && now + (queuedLines() + withdrawal) / channel.measuredRate() < deadline;
    }

    /** In none of our tables: to shut it out costs no line at the proxies that are on them. */
    private static boolean isInNoTable(Endpoint endpoint) {
        return !endpoint.isListed() && endpoint.sentWeight == 0;
    }

    /**
     * The next line to order: removals first, then cuts that can't wait, then what moves most
     * traffic.
     */
    private boolean sendEntry(ControllerOutput output) {
        if (pendingEntries == null) {
            pendingEntries = new ArrayList<>();
            tables.forEach(this::rank);
            pendingEntries.sort(Comparator.comparingDouble(entry -> -entry.rank));
        }
        Set<RoutingTable> full = new HashSet<>();
        for (RoutingTable.TableEntry entry : pendingEntries) {
            RoutingTable table = entry.table;
            if (full.contains(table) || yieldsToBinds(entry)) {
                continue;
            }
            double part =
                    entry.rank < RANK_EJECTION
                            ? ORDINARY_SHARE
                            : entry.rank < RANK_REFILL
                                    ? URGENT_SHARE
                                    : entry.rank < RANK_REMOVAL ? CRITICAL_SHARE : FULL_SHARE;
            // Heads alone must not fill the channel; where messages are capped, ordinary ones go
            // evenly.
            boolean may = part > ORDINARY_SHARE || ordinaryUpdates || channel.hasMessageLimit();
            boolean rides =
                    may && table.users.stream().allMatch(proxy -> proxy.hasMessageAt(now))
                            || table.users.isEmpty();
            double heads =
                    (table.fullTable == table ? table.users : proxies.values()).size()
                            * channel.messageOverhead()
                            / (channel.configuredRate() * TRUSTED_RATE_SHARE);
            double pause =
                    part > ORDINARY_SHARE
                            ? heads
                            : may ? Math.max(2 * heads, channel.messageInterval()) : -NEVER;
            pause = part == FULL_SHARE ? removalPause(entry) : rides || table.isEmpty() ? 0 : pause;
            double since = table.fullTable == table ? lastEntryTime : table.lastEntryTime;
            if (now - since < pause
                    || !channel.book(
                            table.users,
                            1,
                            part,
                            part == FULL_SHARE ? Purpose.REMOVAL : Purpose.LINE)) {
                full.add(table);
                continue;
            }
            pendingEntries.remove(entry);
            double want = effectiveWeight(entry);
            if ((want == 0 && !entry.endpoint.ejectedWithZone || entry.sentWeight == 0)
                    && table.sentWeight > 0
                    && !table.users.isEmpty()) {
                expectLoadChange((entry.sentWeight - want) / sum(tables, x -> x.sentWeight));
            }
            entry.markSent(want);
            removalSent(entry);
            lastEntryTime = table.users.isEmpty() ? lastEntryTime : now;
            table.lastEntryTime = lastEntryTime;
            pendingEntries =
                    want == 0 && 2 * table.sentWeight < table.targetWeight ? null : pendingEntries;
            output.setWeight(table.number, entry.endpoint, want);
            if (entry.endpoint.state == EndpointState.GONE) {
                table.entries.remove(entry.endpoint);
            }
            return true;
        }
        return false;
    }

    /**
     * How long a removal waits for others that go with it, ms. Removals wait for nothing, but where
     * the messages to a proxy are capped and most are used up, each alone would use up the last
     * ones before the next removal is due.
     */
    private double removalPause(RoutingTable.TableEntry entry) {
        boolean scarce =
                channel.hasMessageLimit()
                        && entry.table.users.stream()
                                .anyMatch(
                                        proxy ->
                                                !proxy.hasMessageAt(now)
                                                        && channel.isMessageLimitNear(proxy));
        double interval = channel.messageInterval();
        return scarce
                        && entry.endpoint.removedAt
                                        + drainGrace
                                        - channel.maxTransitTime()
                                        - 2 * interval
                                > now
                ? interval
                : 0;
    }

    /** Whether a line has to let binds go first, whose deadline is earlier. */
    private boolean yieldsToBinds(RoutingTable.TableEntry entry) {
        return hasBindDeadline()
                && !entry.table.users.isEmpty()
                && !entry.table.isEmpty()
                && (entry.rank < RANK_REMOVAL
                        || entry.endpoint.removedAt + drainGrace > bindDeadline);
    }

    /**
     * The line of an endpoint that left is on its way out of the table: settled for those that no
     * other table gives it to.
     */
    private void removalSent(RoutingTable.TableEntry entry) {
        if (entry.sentWeight == 0 && !entry.endpoint.isListed()) {
            entry.table.users.stream()
                    .filter(
                            proxy ->
                                    proxy.tables.values().stream()
                                            .noneMatch(table -> table.contains(entry.endpoint)))
                    .forEach(
                            proxy ->
                                    drainTracker.removalOrdered(
                                            proxy.id, entry.endpoint.id, channel.nextMessage()));
        }
    }

    private void rank(RoutingTable table) {
        double mean = meanWeight(table);
        table.targetWeight = sum(table.entries.values(), this::effectiveWeight);
        boolean thin = 2 * table.sentWeight < table.targetWeight; // one line alone would take all
        for (RoutingTable.TableEntry entry : table.entries.values()) {
            double want = effectiveWeight(entry);
            double moved = Math.abs(want - entry.sentWeight);
            boolean soon =
                    entry.sentWeight > 0
                            && (want == 0
                                    || isWarmingUp(entry.endpoint, 1)
                                            && want < entry.sentWeight / 2);
            double urgency =
                    entry.endpoint.isListed()
                            ? RANK_EJECTION
                            : entry.endpoint.ejectedEverywhere ? 0 : RANK_REMOVAL;
            double base =
                    thin && want > entry.sentWeight
                            ? RANK_REFILL
                            : soon ? urgency : entry.sentWeight == 0 ? RANK_ADDITION : 0;
            entry.rank = Math.min(1, moved / mean / WEIGHTS_PER_RANK) + base;
            if (moved > 0
                    && table.number >= 0
                    && (base > 0
                            || moved >= MIN_WEIGHT_CHANGE * Math.max(want, entry.sentWeight))) {
                pendingEntries.add(entry);
            }
        }
    }

    /**
     * Those first whose tables have to be replaced soonest, then those that carry most. A governor
     * that starts anew looks at the load first, lest all come in.
     */
    private boolean sendBind(ControllerOutput output) {
        planBinds();
        for (Iterator<Proxy> each = unboundProxies.iterator(); each.hasNext(); ) {
            Proxy proxy = each.next();
            if (proxies.get(proxy.id) != proxy || fullTables.stream().noneMatch(proxy::needsBind)) {
                each.remove();
                continue;
            }
            if (!isReadyToBind(proxy)) {
                continue;
            }
            for (RoutingTable table : fullTables) {
                RoutingTable target = proxy.assignedTable(table);
                if (!proxy.needsBind(table) || target.isEmpty()) {
                    continue;
                }
                bindDeadline = proxy.bindDeadline;
                if (!channel.book(
                        List.of(proxy), bindCost(proxy, target), URGENT_SHARE, Purpose.BIND)) {
                    return false;
                }
                if (proxy.unconfigured && proxy.tables.isEmpty()) {
                    expectLoadChange(
                            proxy.baselineDemand
                                    / sum(proxies.values(), other -> other.baselineDemand));
                }
                proxy.moveTo(target);
                bindsOrdered++;
                if (fullTables.stream().noneMatch(proxy::needsBind)) {
                    drainTracker.tablesCompleted(proxy.id, channel.nextMessage());
                }
                target.entries.keySet().stream()
                        .filter(endpoint -> !endpoint.isListed() && target.contains(endpoint))
                        .forEach(endpoint -> drainTracker.owes(proxy.id, endpoint.id));
                output.bindProxy(target.number, proxy, target.requestClasses);
                return true;
            }
        }
        bindDeadline = Double.POSITIVE_INFINITY;
        return false;
    }

    /** Whether a proxy may be bound yet. */
    private boolean isReadyToBind(Proxy proxy) {
        return proxy.unconfigured || updateCount > OBSERVATION_UPDATES;
    }

    /** Lines that a bind costs: the table, its levels, and what is let back with it. */
    private int bindCost(Proxy proxy, RoutingTable target) {
        int lines = 1 + target.requestClasses.cardinality();
        for (Endpoint endpoint : target.entries.keySet()) {
            if (target.contains(endpoint)) {
                lines +=
                        !proxy.unconfigured
                                        && (endpoint.mayBeEjectedElsewhere
                                                || endpoint.ejectedEverywhere)
                                ? 2
                                : 1;
            }
        }
        return lines;
    }

    /** Whether a proxy is not bound yet that has to be by some time. */
    private boolean hasBindDeadline() {
        planBinds();
        return bindDeadline < Double.POSITIVE_INFINITY;
    }

    /**
     * Puts those that are to be bound in order, and those on starter tables whose regular ones
     * would take too long.
     */
    private void planBinds() {
        boolean stale =
                planOutdated
                        && (unboundProxies != null
                                        && unboundProxies.size() < MIN_UNBOUND_TO_DELAY_PLAN
                                || now - lastPlanTime >= PLAN_INTERVAL);
        if (unboundProxies != null && !stale) {
            return;
        }
        planOutdated = false;
        lastPlanTime = now;
        List<Proxy> all = new ArrayList<>();
        Set<RoutingTable> dead = new HashSet<>(tables);
        dead.removeIf(table -> table.users.isEmpty() || liveEntries(table) > 0);
        for (Proxy proxy : proxies.values()) {
            if (fullTables.stream().anyMatch(proxy::needsBind)) {
                boolean stranded = proxy.tables.values().stream().anyMatch(dead::contains);
                proxy.bindDeadline = stranded ? now : drainTracker.bindDeadline(proxy.id);
                all.add(proxy);
            }
        }
        all.sort(
                Comparator.<Proxy>comparingDouble(
                                proxy -> Math.floor(proxy.bindDeadline / DEADLINE_WINDOW))
                        .thenComparingDouble(proxy -> -proxy.baselineDemand));
        unboundProxies = new ArrayDeque<>(all);
        all.removeIf(
                proxy -> !isReadyToBind(proxy) || proxy.bindDeadline == Double.POSITIVE_INFINITY);
        double[] deadlines = all.stream().mapToDouble(proxy -> proxy.bindDeadline).toArray();
        double lines =
                new BindBudget(channel.measuredRate(), channel.maxTransitTime())
                                .linesPerBind(
                                        now,
                                        deadlines,
                                        expectedJoins(),
                                        now + drainGrace,
                                        queuedLines())
                        - channel.totalMessageOverhead();
        bindsMeetDeadlines =
                lines >= requestClasses.length + fullTables.size() * (1 + StarterTables.MIN_LINES);
        Map<RoutingTable, Integer> costs = new HashMap<>();
        for (Proxy proxy : all) {
            double cost =
                    sum(
                            fullTables,
                            table ->
                                    proxy.usesTable(table)
                                            ? costs.computeIfAbsent(
                                                    proxy.assignedTable(table),
                                                    target -> bindCost(proxy, target))
                                            : 0);
            if (cost > lines) {
                assignStarterTables(proxy, lines);
            }
        }
        bindDeadline =
                all.stream()
                        .filter(this::hasTableToBind)
                        .mapToDouble(proxy -> proxy.bindDeadline)
                        .findFirst()
                        .orElse(Double.POSITIVE_INFINITY);
    }

    /** Whether there is a table to put the proxy on, or a starter table about to be laid out. */
    private boolean hasTableToBind(Proxy proxy) {
        return fullTables.stream()
                .anyMatch(
                        table ->
                                proxy.needsBind(table)
                                        && (proxy.starterTables.containsKey(table)
                                                || !proxy.assignedTable(table).isEmpty()));
    }

    /** Puts a proxy on starter tables that cost that many lines at most, or as few as they can. */
    private void assignStarterTables(Proxy proxy, double lines) {
        int size = starterSize(lines);
        if (!proxy.starterTables.isEmpty()
                && starterTables.tableSize() <= Math.max(size, StarterTables.MIN_LINES)) {
            return;
        }
        if (!starterTables.fitsBudget(size)) {
            starterTables.allocate(
                    fullTables, size, this::createStarterTable, this::effectiveWeight, random);
        }
        starterTables.assign(proxy);
    }

    /** Lines of a starter table, if a bind may cost that many in all. */
    private int starterSize(double lines) {
        double doubted =
                sum(
                                availableEndpoints,
                                endpoint ->
                                        endpoint.mayBeEjectedElsewhere || endpoint.ejectedEverywhere
                                                ? 1
                                                : 0)
                        / Math.max(1, availableEndpoints.size());
        double each = (lines - requestClasses.length) / fullTables.size() - 1;
        return (int)
                Math.max(
                        StarterTables.MIN_LINES,
                        Math.min(availableEndpoints.size(), each / (1 + doubted)));
    }

    /** Proxies that are likely to come besides those that have: in a rush, all that others had. */
    private int expectedJoins() {
        recentJoins.removeIf(at -> at < now - RUSH_WINDOW);
        boolean rush = recentJoins.size() > Math.max(MIN_RUSH_JOINS, RUSH_SHARE * expectedProxies);
        return rush ? Math.max(0, fleetProxies - proxies.size()) : 0;
    }

    /** Lines and levels of starter tables that nobody goes by yet: they cost nothing. */
    private boolean sendStarterTable(ControllerOutput output) {
        for (RoutingTable table : List.copyOf(starterTables.notSent())) {
            for (RoutingTable.TableEntry entry :
                    table.number < 0
                            ? List.<RoutingTable.TableEntry>of()
                            : table.entries.values()) {
                if (table.users.isEmpty() && entry.sentWeight != effectiveWeight(entry)) {
                    entry.markSent(effectiveWeight(entry));
                    output.setWeight(table.number, entry.endpoint, entry.sentWeight);
                    return true;
                }
            }
            for (int k : table.number < 0 ? new int[0] : table.requestClasses.stream().toArray()) {
                if (table.users.isEmpty() && table.sentAdmission[k] < 0) {
                    setAdmission(output, table, k, admittedValue(requestClasses[k]), retryPolicy());
                    return true;
                }
            }
            starterTables.notSent().remove(table);
        }
        return false;
    }

    /**
     * Moves proxies from starter tables to their regular ones once there is no rush, as the channel
     * allows.
     */
    private void releaseStarters() {
        if (hasBindDeadline()
                || expectedJoins() > 0
                || queuedLines() > ORDINARY_SHARE * channel.ordinaryQueueLimit()) {
            return;
        }
        double room = STARTER_RELEASE_CHANNEL_SHARE * UPDATE_INTERVAL * channel.measuredRate();
        for (Proxy proxy : starterTables.users()) {
            room -=
                    channel.totalMessageOverhead()
                            + sum(
                                    fullTables,
                                    table ->
                                            proxy.usesTable(table)
                                                    ? bindCost(proxy, proxy.regularTable(table))
                                                    : 0);
            if (room < 0) {
                return;
            }
            starterTables.release(proxy);
            unboundProxies = null;
        }
    }

    /**
     * Levels, and further tries: only after proof that nothing ran, and none that would feed full
     * queues.
     */
    private boolean sendAdmission(ControllerOutput output) {
        int retry = retryPolicy();
        double pause =
                proxies.size()
                        * channel.totalMessageOverhead()
                        / (ADMISSION_CHANNEL_SHARE * channel.measuredRate());
        for (RoutingTable table : tables) {
            if (!table.users.isEmpty()
                    && (hasBindDeadline()
                            || now - table.lastAdmissionTime < pause
                                    && now > table.lastAdmissionTime)) {
                continue;
            }
            for (int k : table.number < 0 ? new int[0] : table.requestClasses.stream().toArray()) {
                double letIn = admittedValue(requestClasses[k]);
                boolean differs =
                        retry != table.sentRetryPolicy[k]
                                || Math.abs(letIn - table.sentAdmission[k])
                                        >= MIN_WEIGHT_CHANGE
                                                / 2
                                                * Math.max(letIn, table.sentAdmission[k]);
                if ((table.sentAdmission[k] < 0
                                || (ordinaryUpdates || admission.overloaded()) && differs)
                        && channel.book(
                                table.users,
                                1,
                                admission.overloaded() ? CRITICAL_SHARE : ORDINARY_SHARE,
                                Purpose.LEVEL)) {
                    setAdmission(output, table, k, letIn, retry);
                    return true;
                }
            }
        }
        return false;
    }

    private int retryPolicy() {
        return admission.overloaded() || !statsReceived || meanLoad > BUSY_LOAD
                ? ControllerOutput.RETRY_NEVER
                : ControllerOutput.RETRY_IF_NOT_EXECUTED;
    }

    /** A product's level as the host is told it: a share, or a rate. */
    private double admittedValue(RequestClass requestClass) {
        return admissionMode != AdmissionMode.RATE
                ? requestClass.admittedShare
                : requestClass.admittedShare < 1 ? requestClass.admittedRate : UNLIMITED;
    }

    private void setAdmission(
            ControllerOutput output, RoutingTable table, int product, double letIn, int retry) {
        table.lastAdmissionTime = now;
        table.sentAdmission[product] = letIn;
        table.sentRetryPolicy[product] = retry;
        output.setAdmission(table.number, requestClasses[product], letIn, retry);
    }

    /** Makes the tables follow the list; one that starts anew comes in through the slow start. */
    private void followEndpointList() {
        availableEndpoints = endpoints.values().stream().filter(Endpoint::isListed).toList();
        double sum = sum(List.of(requestClasses), requestClass -> requestClass.demand);
        double pace =
                sum <= 0
                        ? 0
                        : Math.min(
                                4 * HEALTH_CHECK_INTERVAL,
                                availableEndpoints.size()
                                        / (HEALTH_CHECKS_PER_REQUEST * sum)
                                        * 1000);
        for (Endpoint endpoint : availableEndpoints) {
            if (endpoint.enteringService) {
                endpoint.ignoreReportsUntil = firstList ? 0 : now + 2 * reportInterval;
                endpoint.missedChecks = 0;
                endpoint.passedChecks = 1;
                endpoint.ejected =
                        healthChecksEnabled
                                && !firstList; // a stranger on a wrong list would err: one answer
                // lets it in
                endpoint.ejectedUntil = endpoint.lastReportAt = endpoint.lastCompletedAt = NEVER;
                beginSlowStart(endpoint);
            }
            if (healthChecksEnabled && !endpoint.checkInProgress) {
                endpoint.checkInProgress = true;
                scheduleCheck(
                        now
                                + (endpoint.enteringService
                                        ? random.nextDouble()
                                                * HEALTH_CHECK_INTERVAL
                                                / (firstList ? 1 : 4)
                                        : endpoint.missedChecks > 0 && !endpoint.ejected
                                                ? HEALTH_CHECK_INTERVAL / 4
                                                : Math.max(HEALTH_CHECK_INTERVAL, pace)),
                        endpoint);
            }
            endpoint.enteringService = false;
        }
        firstList = false;
        if (listChanged) {
            listChanged = false;
            // Where whole tables cannot reach all proxies in time, each goes by a part of some
            // servers.
            boolean cuts =
                    affordableTableSize
                            < availableEndpoints.size() / (restingSubsetSize > 0 ? 1 : 2.0);
            int before = restingSubsetSize;
            restingSubsetSize =
                    !cuts
                            ? 0
                            : restingSubsetSize > 0
                                    ? restingSubsetSize
                                    : (int) Math.max(MIN_CHANNEL_SUBSET_SIZE, affordableTableSize);
            if (before != restingSubsetSize) {
                subsetSize = subsetSize == before ? restingSubsetSize : subsetSize;
                allocateSubsets();
            } else if (subsetSize > 0 && subsetSize == restingSubsetSize) {
                fullTables.forEach(this::refillSubsets);
            }
            tables.stream()
                    .filter(table -> table.starter && !table.users.isEmpty())
                    .forEach(this::refillStarterTable);
        }
    }

    /** A starter table that lost half of its servers takes others, drawn by chance. */
    private void refillStarterTable(RoutingTable starter) {
        int missing = starterTables.tableSize() - (int) liveEntries(starter);
        if (2 * missing < starterTables.tableSize()) {
            return;
        }
        List<Endpoint> others = new ArrayList<>(availableEndpoints);
        others.removeIf(
                endpoint ->
                        starter.entries.containsKey(endpoint)
                                || effectiveWeight(starter.fullTable.entryOf(endpoint)) == 0
                                || !starter.accepts(endpoint));
        for (; missing > 0 && !others.isEmpty(); missing--) {
            starter.addFromFullTable(others.remove(random.nextInt(others.size())));
        }
    }

    /**
     * Parts that lost servers take others, those in the fewest parts first; and none is in no part.
     */
    private void refillSubsets(RoutingTable table) {
        availableEndpoints.forEach(
                endpoint ->
                        endpoint.subsetDemand =
                                sum(
                                        table.subsets,
                                        subset -> subset.entries.containsKey(endpoint) ? 1 : 0));
        List<Endpoint> open = availableEndpoints.stream().filter(table::accepts).toList();
        for (RoutingTable subset : table.subsets) {
            for (int n = subset.listedEntries(); n < Math.min(subsetSize, open.size()); n++) {
                open.stream()
                        .filter(endpoint -> !subset.entries.containsKey(endpoint))
                        .min(Comparator.comparingDouble(endpoint -> endpoint.subsetDemand))
                        .ifPresent(subset::addFromFullTable);
            }
        }
        for (Endpoint endpoint : open) {
            if (endpoint.subsetDemand < 1) {
                table.subsets.stream()
                        .min(Comparator.comparingInt(RoutingTable::listedEntries))
                        .ifPresent(subset -> subset.addFromFullTable(endpoint));
            }
        }
    }

    // What answers no probe is out; while it settles txns, only with its zone or alone: else queues
    // are full.
    private void ejectUnresponsive() {
        Map<Integer, List<Endpoint>> zones =
                availableEndpoints.stream()
                        .collect(Collectors.groupingBy(endpoint -> endpoint.zone));
        zones.values()
                .removeIf(z -> sum(z, Endpoint::isUnresponsive) >= ZONE_OUTAGE_SHARE * z.size());
        double others = sum(zones.values(), List::size);
        double stray = sum(zones.values(), z -> sum(z, Endpoint::isUnresponsive));
        boolean few = meanLoad < CALM_LOAD && stray <= Math.max(1, MINORITY_SHARE * others);
        for (Endpoint endpoint : availableEndpoints) {
            boolean together =
                    !zones.containsKey(endpoint.zone)
                            && others > 0
                            && stray <= MINORITY_SHARE * others;
            boolean alone =
                    endpoint.missedChecks >= MISSED_CHECKS_TO_EJECT
                            && (few || !completesRequests(endpoint));
            if (!endpoint.ejected
                    && endpoint.missedChecks >= MISSED_CHECKS_TO_EJECT / 2
                    && (together || alone)) {
                ejectIfEnoughRemain(
                        endpoint,
                        0,
                        MIN_REMAINING_UNRESPONSIVE,
                        "no answer to probes" + (together ? ", nor from its zone" : ""));
                endpoint.ejectedWithZone = together;
            }
        }
        starterTables.releaseUsersOf(table -> liveEntries(table) == 0);
        for (RoutingTable table : fullTables) {
            if (!table.entries.isEmpty()
                    && sum(table.entries.values(), this::effectiveWeight) == 0) {
                holdWarming = false;
                table.entries.keySet().forEach(endpoint -> endpoint.ejected = false);
                logLines.add("back to the list: no line is left in table " + table.number);
            }
            if (table.subsets.stream().anyMatch(subset -> liveEntries(subset) == 0)) {
                allocateSubsets();
            }
        }
    }

    private boolean completesRequests(Endpoint endpoint) {
        return now - endpoint.lastCompletedAt < 1.5 * reportInterval
                || updateCount * UPDATE_INTERVAL < statsSettlingTime;
    }

    private boolean hasFreshReport(Endpoint endpoint) {
        return now - endpoint.lastReportAt < maxReportAge;
    }

    /**
     * Out, if enough others stay in each of its tables: the rest must not tip over for want of one.
     */
    private void ejectIfEnoughRemain(Endpoint endpoint, double hold, double stay, String why) {
        if (tables.stream()
                .filter(table -> table.entries.containsKey(endpoint))
                .allMatch(
                        table ->
                                liveEntries(table)
                                        >= 1
                                                + Math.max(
                                                        1,
                                                        stay
                                                                * sum(
                                                                        table.entries.values(),
                                                                        entry ->
                                                                                entry.endpoint
                                                                                                .isListed()
                                                                                        ? 1
                                                                                        : 0)))) {
            endpoint.ejected = true;
            boolean again =
                    now - endpoint.ejectedUntil
                            < MAX_EJECTION_TIME; // what keeps failing earns trust more slowly
            endpoint.ejectionTime =
                    again
                            ? Math.min(
                                    MAX_EJECTION_TIME,
                                    Math.max(BASE_EJECTION_TIME / 4, 2 * endpoint.ejectionTime))
                            : hold;
            endpoint.ejectedUntil = now + endpoint.ejectionTime;
            endpoint.passedChecks = 0;
            logLines.add("out " + endpoint.id + ": " + why);
        }
    }

    /** What long is gone and in no table is kept no longer; ids are not used again. */
    private void forgetRemoved() {
        Set<Endpoint> gone = new LinkedHashSet<>(endpoints.values());
        gone.removeIf(
                endpoint ->
                        endpoint.state != EndpointState.GONE
                                || endpoint.sentWeight > 0
                                || now - endpoint.removedAt < FORGET_AFTER);
        pendingEjections.removeAll(gone);
        repeatedEjections.removeAll(gone);
        listedNow.removeAll(gone);
        gone.forEach(endpoint -> drainTracker.endpointForgotten(endpoint.id));
        tables.forEach(table -> table.entries.keySet().removeAll(gone));
        endpoints.values().removeAll(gone);
        pendingEntries = gone.isEmpty() ? pendingEntries : null;
    }

    /** Once a turn: what is owed, and each removal that was not acknowledged in time. */
    private void checkDrains() {
        if (!acknowledgementsNameProxy) {
            return;
        }
        String booked = channel.bookedLinesByPurpose();
        List<DrainTracker.Overdue> late = new ArrayList<>();
        drainTracker.check(
                now - channel.maxTransitTime(), late::add); // an acknowledgement takes that long
        late.stream()
                .limit(MAX_OVERDUE_LOGGED)
                .forEach(
                        o ->
                                logLines.add(
                                        "event=drain_overdue proxy="
                                                + o.proxy()
                                                + " endpoint="
                                                + o.endpoint()
                                                + " cause="
                                                + o.cause()
                                                + " late_ms="
                                                + Math.round(now - o.due())));
        if (!late.isEmpty()) {
            logLines.add(
                    "event=drain_violations new="
                            + late.size()
                            + " by_cause="
                            + late.stream()
                                    .collect(
                                            Collectors.groupingBy(
                                                    DrainTracker.Overdue::cause,
                                                    TreeMap::new,
                                                    Collectors.counting())));
        }
        int unbound = drainTracker.unbound();
        int open = drainTracker.notOrdered();
        if (unbound > 0 || open > 0) {
            logLines.add(
                    "event=drain_status joined="
                            + proxies.size()
                            + " unbound="
                            + unbound
                            + " not_ordered="
                            + open
                            + " overdue="
                            + drainTracker.overdue()
                            + " waiting_lines="
                            + Math.round(queuedLines())
                            + " lines_per_s="
                            + Math.round(1000 * channel.measuredRate())
                            + " starters="
                            + starterTables.users().size()
                            + " starter_lines="
                            + starterTables.tableSize()
                            + " booked="
                            + booked
                            + " binds="
                            + bindsOrdered);
        }
        bindsOrdered = 0;
    }

    private void periodicUpdate() {
        forgetRemoved();
        checkDrains();
        releaseStarters();
        channel.measureRate();
        double fade =
                Math.exp(
                        -UPDATE_INTERVAL
                                / (admission.overloaded()
                                        ? OVERLOAD_SPEED_EVIDENCE_DECAY
                                        : SPEED_EVIDENCE_DECAY));
        double quick = Math.exp(-UPDATE_INTERVAL / HEALTH_EVIDENCE_DECAY);
        for (Endpoint endpoint : availableEndpoints) {
            endpoint.busyTime =
                    endpoint.busyTime * fade
                            + (hasFreshReport(endpoint) ? endpoint.load * UPDATE_INTERVAL : 0);
            endpoint.completed *= fade;
            double kept = hasFreshReport(endpoint) ? updateCount > 2 ? quick : 0 : 1;
            endpoint.smoothedLoad = endpoint.load + (endpoint.smoothedLoad - endpoint.load) * kept;
        }
        List<Endpoint> seen =
                availableEndpoints.stream()
                        .filter(endpoint -> !endpoint.ejected && hasFreshReport(endpoint))
                        .toList();
        List<Endpoint> in =
                availableEndpoints.stream()
                        .filter(endpoint -> !endpoint.ejected && endpoint.completed > 0)
                        .toList();
        double completed = sum(in, endpoint -> endpoint.completed);
        double busy = sum(in, endpoint -> endpoint.busyTime);
        double weights = Math.max(Double.MIN_NORMAL, sum(seen, endpoint -> endpoint.sentWeight));
        double load = sum(seen, endpoint -> endpoint.load * endpoint.sentWeight) / weights;
        meanLoad = sum(seen, endpoint -> endpoint.smoothedLoad * endpoint.sentWeight) / weights;
        double failed = sum(availableEndpoints, endpoint -> endpoint.failedAttempts);
        double answered = sum(availableEndpoints, endpoint -> endpoint.attempts) - failed;
        double answerTime =
                sum(availableEndpoints, endpoint -> endpoint.responseTimeSum) / (answered + 1);
        failureShare = failed / (failed + answered + 1);
        speedPrior.learn(
                availableEndpoints,
                in.stream().filter(endpoint -> !isWarmingUp(endpoint, 1)).toList());
        for (Endpoint endpoint : availableEndpoints) {
            updateEjection(endpoint);
            endpoint.decayHealthEvidence(quick);
            endpoint.speed =
                    busy <= 0
                            ? speedPrior.expected(endpoint)
                            : (endpoint.completed
                                            + PRIOR_EVIDENCE_SHARE
                                                    * completed
                                                    / in.size()
                                                    * speedPrior.expected(endpoint))
                                    / (endpoint.busyTime + PRIOR_EVIDENCE_SHARE * busy / in.size())
                                    * busy
                                    / completed;
        }
        String mode = admission.update(proxies.values(), load, answerTime, failureShare);
        if (mode != null) {
            logLines.add(mode);
        }
        boolean few =
                availableEndpoints.stream()
                                .filter(endpoint -> isWarmingUp(endpoint, EARLY_WARMUP_SHARE))
                                .count()
                        <= MIN_REMAINING_OUTLIERS * availableEndpoints.size();
        double unknown =
                sum(
                        proxies.values(),
                        proxy ->
                                now - proxy.joinedAt < statsSettlingTime
                                        ? proxy.baselineDemand
                                        : 0);
        holdWarming =
                few
                        && (failureShare > HOLD_WARMING_FAILURE_SHARE
                                || unknown
                                        > MINORITY_SHARE
                                                * sum(
                                                        proxies.values(),
                                                        proxy -> proxy.baselineDemand));
        ejectUnresponsive();
        resizeSubsets(load);
        if (busy > 0) {
            double speeds =
                    sum(availableEndpoints, endpoint -> endpoint.ejected ? 0 : endpoint.speed);
            double all = sum(fullTables, this::demand);
            for (RoutingTable table : fullTables) {
                double open =
                        sum(
                                table.entries.values(),
                                entry -> entry.endpoint.ejected ? 0 : entry.endpoint.speed);
                table.relativeDemand =
                        open > 0 && all > 0 ? demand(table) / open * speeds / all : 0;
            }
            tables.forEach(this::updateWeights);
        }
    }

    // Halfway to the inverse of load per share received; a busy one shrinks by up to a quarter at
    // once.
    private void updateWeights(RoutingTable table) {
        double mean = meanWeight(table);
        List<RoutingTable> narrow =
                fullTables.stream()
                        .filter(x -> x.entries.size() < table.fullTable.entries.size())
                        .toList();
        for (RoutingTable.TableEntry entry : table.entries.values()) {
            Endpoint endpoint = entry.endpoint;
            double room =
                    Math.max(
                            MIN_LOAD,
                            1 - sum(narrow, x -> x.accepts(endpoint) ? x.relativeDemand : 0));
            double perShare = DEFAULT_LOAD / Math.max(endpoint.speed, 1e-3);
            double sound =
                    Math.min(
                            1,
                            (1 - endpoint.failedAttempts / (endpoint.attempts + 2))
                                    / (1 - failureShare));
            double target = FULL_LOAD_WEIGHT / Math.max(MIN_LOAD, perShare) * room * sound * sound;
            if (endpoint.smoothedLoad > BUSY_LOAD
                    && endpoint.smoothedLoad > SHRINK_LOAD_RATIO * meanLoad) {
                target =
                        Math.min(
                                target,
                                entry.weight
                                        * Math.max(0.5, 2 * meanLoad / endpoint.smoothedLoad - 1));
            }
            double next = Math.rint((entry.weight + target) / 2);
            double cap = Math.max(SLOW_START_SHARE * mean, entry.weight * MAX_SLOW_START_GROWTH);
            double warm = mean * speedPrior.expected(endpoint);
            cap = isWarmingUp(endpoint, 1) ? Math.min(cap, warmupShare(endpoint) * warm) : cap;
            if (effectiveWeight(entry) > 0) {
                entry.weight =
                        Math.max(
                                1,
                                entry.weight < mean / 2 || isWarmingUp(endpoint, 1)
                                        ? Math.min(next, cap)
                                        : next);
            }
        }
    }

    private double demand(RoutingTable table) {
        return table.requestClasses.stream()
                .mapToDouble(k -> requestClasses[k].demand * requestClasses[k].admittedShare)
                .sum();
    }

    // Out when its tries are voided far more often than the fleet's; zeroed when its load stays far
    // above it.
    private void updateEjection(Endpoint endpoint) {
        double share = endpoint.failedAttempts / (endpoint.attempts + 1);
        boolean full =
                !admission.overloaded()
                        && endpoint.smoothedLoad > ZEROING_LOAD
                        && endpoint.smoothedLoad > ZEROING_LOAD_RATIO * meanLoad;
        double sick =
                OUTLIER_FAILURE_SHARE
                        + failureShare
                        + (endpoint.smoothedLoad > SATURATED_LOAD
                                ? SATURATED_FAILURE_ALLOWANCE
                                : 0);
        if (!endpoint.ejected
                && subsetSize == restingSubsetSize
                && endpoint.failedAttempts >= 2
                && share > sick) {
            ejectIfEnoughRemain(
                    endpoint,
                    BASE_EJECTION_TIME,
                    MIN_REMAINING_OUTLIERS,
                    "voided " + percent(share) + ", all " + percent(failureShare));
        } else if (!endpoint.ejected && full) {
            ejectIfEnoughRemain(
                    endpoint,
                    0,
                    MIN_REMAINING_OUTLIERS,
                    "load " + percent(endpoint.smoothedLoad) + ", mean " + percent(meanLoad));
        } else if (endpoint.ejected
                && !full
                && now >= endpoint.ejectedUntil
                && (!healthChecksEnabled || endpoint.passedChecks >= 2)) {
            endpoint.ejected = false;
            beginSlowStart(endpoint);
            logLines.add("back " + endpoint.id + ": answers");
        }
    }

    /**
     * Through the slow start, with nothing known of it; on the first list, at once for what runs
     * long.
     */
    private void beginSlowStart(Endpoint endpoint) {
        endpoint.resetStats();
        for (RoutingTable table : fullTables) {
            if (table.accepts(endpoint)) {
                List<Endpoint> alike = availableEndpoints.stream().filter(table::accepts).toList();
                double share =
                        speedPrior.expected(endpoint)
                                * alike.size()
                                / sum(alike, speedPrior::expected)
                                * warmupShare(endpoint);
                double part =
                        endpoint.startedAt > 0 && endpoint.ejectedUntil == NEVER
                                ? share
                                : SLOW_START_SHARE;
                double start =
                        firstList
                                ? FULL_LOAD_WEIGHT / DEFAULT_LOAD * share
                                : meanWeight(table) * Math.max(SLOW_START_SHARE, part);
                table.entryOf(endpoint).weight = Math.max(1, Math.rint(start));
                tables.stream()
                        .filter(subset -> subset.fullTable == table && subset != table)
                        .forEach(
                                subset ->
                                        subset.entries.computeIfPresent(
                                                endpoint,
                                                (x, entry) ->
                                                        entry.withWeight(
                                                                table.entryOf(endpoint).weight)));
            }
        }
    }

    // Tries that fail at most servers, though these answer probes and have load to spare, mean too
    // few
    // connections: proxies then share tables of few servers. Harms if tries fail all over for other
    // reasons.
    private void resizeSubsets(double load) {
        double[] shares =
                availableEndpoints.stream()
                        .filter(endpoint -> endpoint.missedChecks == 0 && endpoint.attempts >= 1)
                        .mapToDouble(endpoint -> endpoint.failedAttempts / (endpoint.attempts + 1))
                        .sorted()
                        .toArray();
        double usual = shares.length == 0 ? 0 : shares[shares.length / 2];
        boolean few =
                !admission.overloaded()
                        && Math.max(load, meanLoad) < SATURATED_LOAD
                        && usual > CONNECTION_SHORTAGE_FAILURE_SHARE;
        if (few
                ? subsetSize != MIN_SUBSET_SIZE && now - lastAllocationTime > statsSettlingTime
                : subsetSize != restingSubsetSize && now - lastAllocationTime > growthBackoff) {
            int more = 4 * subsetSize > availableEndpoints.size() ? 0 : 2 * subsetSize;
            subsetSize =
                    few
                            ? MIN_SUBSET_SIZE
                            : restingSubsetSize > 0 && (more == 0 || more > restingSubsetSize)
                                    ? restingSubsetSize
                                    : more;
            growthBackoff = few ? Math.min(MAX_GROWTH_BACKOFF, growthBackoff * 2) : growthBackoff;
            logLines.add(
                    (subsetSize == 0 ? "tables whole" : "tables of few servers")
                            + ": voided "
                            + percent(usual));
            allocateSubsets();
        }
    }

    /**
     * Those proxies that carry most alone, the others in pairs: for each group, a part of each
     * table.
     */
    private void allocateSubsets() {
        lastAllocationTime = now;
        pendingEntries = null;
        unboundProxies = null;
        for (RoutingTable table : fullTables) {
            table.subsets.clear();
            table.number =
                    table.number < 0 && subsetSize == 0
                            ? fullTables.size() + SUBSET_TABLE_NUMBERS + fullTables.indexOf(table)
                            : table.number;
        }
        List<Proxy> all = new ArrayList<>(subsetSize == 0 ? List.of() : proxies.values());
        all.sort(Comparator.comparingDouble(proxy -> -proxy.totalDemand()));
        double demand = Math.max(1, sum(all, Proxy::totalDemand));
        availableEndpoints.forEach(endpoint -> endpoint.subsetDemand = random.nextDouble() / 4);
        if (subsetSize > 0 && subsetSize == restingSubsetSize) {
            for (int i =
                            (int)
                                    Math.ceil(
                                            (double) SUBSETS_PER_ENDPOINT
                                                    * availableEndpoints.size()
                                                    / subsetSize);
                    i > 0;
                    i--) {
                fullTables.forEach(table -> createSubset(table, 0, 1));
            }
            all.forEach(proxy -> proxy.subset = -1);
            all.forEach(this::assignSubset);
            return;
        }
        for (int i = 0, group = 0; i < all.size(); group++) {
            double share = 0;
            int n = 0;
            for (;
                    i < all.size()
                            && n < PROXIES_PER_SUBSET
                            && share * availableEndpoints.size() < subsetSize;
                    n++) {
                share += all.get(i).totalDemand() / demand;
                all.get(i++).subset = group;
            }
            for (RoutingTable table : fullTables) {
                createSubset(table, share, n);
            }
        }
    }

    /** To the part with the least traffic. */
    private void assignSubset(Proxy proxy) {
        double[] traffic = new double[Math.max(1, fullTables.get(0).subsets.size())];
        proxies.values().stream()
                .filter(other -> other.subset >= 0 && other != proxy)
                .forEach(
                        other ->
                                traffic[other.subset % traffic.length] += other.baselineDemand + 1);
        proxy.subset =
                IntStream.range(0, traffic.length)
                        .boxed()
                        .min(Comparator.comparingDouble(i -> traffic[i]))
                        .get();
    }

    /** A new table without lines that is a part of the given one. */
    private RoutingTable createSubsetTable(RoutingTable table) {
        subsetTablesCreated =
                (subsetTablesCreated + 1)
                        % SUBSET_TABLE_NUMBERS; // by then, whatever had the number has long been
        // cleared
        RoutingTable part =
                new RoutingTable(
                        fullTables.size() + subsetTablesCreated,
                        table.requestClass,
                        table.zone,
                        table,
                        requestClasses.length);
        tables.add(part);
        return part;
    }

    private RoutingTable createStarterTable(RoutingTable table) {
        RoutingTable part = createSubsetTable(table);
        part.starter = true;
        return part;
    }

    private void createSubset(RoutingTable table, double share, int proxies) {
        RoutingTable part = createSubsetTable(table);
        table.subsets.add(part);
        List<RoutingTable.TableEntry> rows = new ArrayList<>(table.entries.values());
        rows.removeIf(entry -> effectiveWeight(entry) == 0);
        rows.sort(Comparator.comparingDouble(entry -> entry.endpoint.subsetDemand));
        double weight = SUBSET_CAPACITY_FACTOR * share * sum(rows, entry -> entry.weight);
        for (int i = 0; i < rows.size() && (i < subsetSize || weight > 0); i++) {
            Endpoint endpoint = rows.get(i).endpoint;
            endpoint.subsetDemand += proxies;
            part.entryOf(endpoint).weight = rows.get(i).weight;
            weight -= rows.get(i).weight;
        }
    }

    /**
     * Clears a table that no proxy goes by: those that were on it hold connections for its lines.
     */
    private boolean sendClear(ControllerOutput output) {
        for (RoutingTable table : tables) {
            if (table.number < 0 || !table.users.isEmpty()) {
                continue;
            }
            boolean laid =
                    table.fullTable.subsets.isEmpty() && table.fullTable == table
                            || table.fullTable.subsets.contains(table);
            if (!(table.starter ? starterTables.isInUse(table) : laid)
                    && channel.book(
                            table.starter ? table.users : table.receivers,
                            1,
                            URGENT_SHARE,
                            Purpose.CLEAR)) {
                output.clearTable(table.number);
                pendingEntries = null;
                table.cleared();
                tables.removeIf(x -> x == table && table.fullTable != table);
                return true;
            }
        }
        return false;
    }

    /**
     * The load to come changes by this share; in the first turns nothing is known to compare it
     * with.
     */
    private void expectLoadChange(double share) {
        if (updateCount > REPORT_LAG_UPDATES) {
            admission.expectLoadChange(share);
        }
    }

    private double effectiveWeight(RoutingTable.TableEntry entry) {
        Endpoint endpoint = entry.endpoint;
        return endpoint.ejected
                        || !endpoint.isListed()
                        || holdWarming && isWarmingUp(endpoint, EARLY_WARMUP_SHARE)
                ? 0
                : entry.weight;
    }

    private double liveEntries(RoutingTable table) {
        return sum(table.entries.values(), entry -> effectiveWeight(entry) > 0 ? 1 : 0);
    }

    private double meanWeight(RoutingTable table) {
        double n =
                sum(
                        table.entries.values(),
                        entry ->
                                effectiveWeight(entry) > 0
                                        ? warmupShare(entry.endpoint)
                                        : 0); // as if all were warm
        return n == 0
                ? FULL_LOAD_WEIGHT / DEFAULT_LOAD
                : sum(table.entries.values(), this::effectiveWeight) / n;
    }

    private static <T> double sum(Collection<T> all, ToDoubleFunction<T> figure) {
        double sum = 0;
        for (T each : all) {
            sum += figure.applyAsDouble(each);
        }
        return sum;
    }

    private boolean isWarmingUp(Endpoint endpoint, double part) {
        return endpoint.startedAt > 0 && now - endpoint.startedAt < part * warmupTime;
    }

    private double warmupShare(Endpoint endpoint) {
        return isWarmingUp(endpoint, 1)
                ? slowStartShare + (1 - slowStartShare) * (now - endpoint.startedAt) / warmupTime
                : 1;
    }

    private void scheduleCheck(double at, Endpoint endpoint) {
        dueChecks.add(new ScheduledCheck(at, scheduledChecks++, endpoint));
    }

    private static String percent(double share) {
        return Math.round(share * 100) + "%";
    }
}
