package sprucelanding.control.decision;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import sprucelanding.control.decision.DecisionEvent.EjectionReason;
import sprucelanding.control.decision.DecisionEvent.EndpointEjected;
import sprucelanding.control.decision.DecisionEvent.EndpointRestored;
import sprucelanding.control.decision.DecisionEvent.TableRestored;

/**
 * Outlier detection for endpoints. The detector ejects an endpoint from the tables if the endpoint
 * does not respond to health checks, fails far more attempts than the other endpoints, or stays
 * overloaded. It restores an ejected endpoint after its recovery. An ejection that follows shortly
 * after another lasts longer. A minimum share of each table always remains, however many endpoints
 * are outliers.
 */
final class OutlierDetector {
    /** Load above which an overloaded endpoint gets weight zero (threshold of the paper). */
    private static final double OVERLOAD_LOAD = 0.95;

    /** Minimum ratio of an overloaded endpoint's load to the mean load. */
    private static final double OVERLOAD_LOAD_RATIO = 1.5;

    /** Excess of an endpoint's failure share over the fleet's at which the endpoint is ejected. */
    private static final double OUTLIER_FAILURE_SHARE = 0.35;

    /** Additional failure share that is tolerated at a saturated endpoint. */
    private static final double SATURATION_ALLOWANCE = 0.3;

    /** Decayed number of failed attempts below which the failure share is not significant. */
    private static final double MIN_FAILED_ATTEMPTS = 2;

    /** Number of consecutive missed health checks at which an endpoint is ejected. */
    private static final int MISSED_CHECKS_TO_EJECT = 4;

    /** Number of consecutive missed health checks that suffices in a zone outage. */
    private static final int MISSED_CHECKS_TO_EJECT_IN_ZONE_OUTAGE = MISSED_CHECKS_TO_EJECT / 2;

    /** Number of consecutive passed health checks after which an ejected endpoint is restored. */
    private static final int PASSED_CHECKS_TO_RESTORE = 2;

    /** Share of unresponsive endpoints at which a zone counts as unresponsive. */
    private static final double ZONE_OUTAGE_SHARE = 0.8;

    /**
     * Maximum share of unresponsive endpoints in the responsive zones at which these endpoints, or
     * an unresponsive zone, count as outliers.
     */
    private static final double MAX_UNRESPONSIVE_MINORITY_SHARE = 0.15;

    /**
     * Mean load below which a few unresponsive endpoints are ejected even if they complete
     * requests. At a higher load, checks may fail because queues are full.
     */
    private static final double MODERATE_LOAD = 0.7;

    /** Minimum share of a table that remains when endpoints are ejected as unresponsive. */
    private static final double MIN_REMAINING_SHARE_UNRESPONSIVE = 0.25;

    /** Minimum share of a table that remains when endpoints are ejected for failures or load. */
    private static final double MIN_REMAINING_SHARE_OUTLIERS = 0.5;

    /** Duration of the first ejection for failed attempts; doubled at each early repetition. */
    private static final double BASE_EJECTION_TIME_MS = 4000;

    /**
     * Maximum duration of an ejection. Also the time after the earliest end of an ejection within
     * which the next ejection counts as an early repetition.
     */
    private static final double MAX_EJECTION_TIME_MS = 16_000;

    private final EventTime time;
    private final DecisionLog log;
    private final RoutingTables tables;
    private final LoadEstimator loads;
    private final WeightPolicy weights;
    private final AdmissionController admission;
    private final HealthCheckScheduler healthChecks;

    OutlierDetector(
            EventTime time,
            DecisionLog log,
            RoutingTables tables,
            LoadEstimator loads,
            WeightPolicy weights,
            AdmissionController admission,
            HealthCheckScheduler healthChecks) {
        this.time = time;
        this.log = log;
        this.tables = tables;
        this.loads = loads;
        this.weights = weights;
        this.admission = admission;
        this.healthChecks = healthChecks;
    }

    /**
     * Ejects endpoints that do not respond to health checks. An endpoint that completes requests is
     * ejected only in an outage of its zone, or if few endpoints are unresponsive at a moderate
     * load. Otherwise its checks probably fail because queues are full.
     */
    void ejectUnresponsive(List<Endpoint> available) {
        Map<Integer, List<Endpoint>> responsiveZones =
                available.stream().collect(Collectors.groupingBy(Endpoint::zone));
        responsiveZones
                .values()
                .removeIf(zone -> countUnresponsive(zone) >= ZONE_OUTAGE_SHARE * zone.size());
        double responsiveZoneEndpoints = SequentialSum.of(responsiveZones.values(), List::size);
        double unresponsiveInResponsiveZones =
                SequentialSum.of(responsiveZones.values(), OutlierDetector::countUnresponsive);
        boolean hasFewUnresponsiveElsewhere =
                unresponsiveInResponsiveZones
                        <= MAX_UNRESPONSIVE_MINORITY_SHARE * responsiveZoneEndpoints;
        boolean hasFewUnresponsiveAtModerateLoad =
                loads.meanLoad() < MODERATE_LOAD
                        && unresponsiveInResponsiveZones
                                <= Math.max(
                                        1,
                                        MAX_UNRESPONSIVE_MINORITY_SHARE * responsiveZoneEndpoints);
        for (Endpoint endpoint : available) {
            boolean inZoneOutage =
                    !responsiveZones.containsKey(endpoint.zone())
                            && responsiveZoneEndpoints > 0
                            && hasFewUnresponsiveElsewhere;
            ejectIfUnresponsive(endpoint, inZoneOutage, hasFewUnresponsiveAtModerateLoad);
        }
    }

    private static double countUnresponsive(Collection<Endpoint> endpoints) {
        return SequentialSum.of(endpoints, e -> e.healthChecks().isUnresponsive() ? 1 : 0);
    }

    private void ejectIfUnresponsive(
            Endpoint endpoint, boolean inZoneOutage, boolean hasFewUnresponsiveAtModerateLoad) {
        int missed = endpoint.healthChecks().missed();
        boolean isSingleOutlier =
                missed >= MISSED_CHECKS_TO_EJECT
                        && (hasFewUnresponsiveAtModerateLoad || !loads.completesRequests(endpoint));
        if (endpoint.isEjected()
                || missed < MISSED_CHECKS_TO_EJECT_IN_ZONE_OUTAGE
                || !inZoneOutage && !isSingleOutlier) {
            return;
        }
        EjectionReason reason =
                inZoneOutage ? EjectionReason.ZONE_UNRESPONSIVE : EjectionReason.UNRESPONSIVE;
        ejectIfEnoughRemain(
                endpoint,
                0,
                MIN_REMAINING_SHARE_UNRESPONSIVE,
                new EndpointEjected(endpoint.id, reason, 0, 0));
        endpoint.ejection().setPartOfZoneOutage(inZoneOutage);
    }

    /**
     * Ejects endpoints whose failure share or load is far above that of the fleet, and restores
     * endpoints that have recovered. Called once in each periodic update.
     *
     * @param detectsFailures whether failed attempts are considered; false while tables are small
     *     because of a connection shortage
     */
    void update(List<Endpoint> available, boolean detectsFailures) {
        for (Endpoint endpoint : available) {
            update(endpoint, available, detectsFailures);
        }
    }

    private void update(Endpoint endpoint, List<Endpoint> available, boolean detectsFailures) {
        EndpointStats stats = endpoint.stats();
        double fleetFailureShare = loads.failureShare();
        double failureShare = stats.failedAttempts() / (stats.attempts() + 1);
        boolean saturated = stats.smoothedLoad() > AdmissionController.SATURATED_LOAD;
        double maxFailureShare =
                OUTLIER_FAILURE_SHARE + fleetFailureShare + (saturated ? SATURATION_ALLOWANCE : 0);
        boolean overloaded =
                !admission.isOverloaded()
                        && stats.smoothedLoad() > OVERLOAD_LOAD
                        && stats.smoothedLoad() > OVERLOAD_LOAD_RATIO * loads.meanLoad();
        boolean failing =
                detectsFailures
                        && stats.failedAttempts() >= MIN_FAILED_ATTEMPTS
                        && failureShare > maxFailureShare;
        if (endpoint.isEjected()) {
            if (!overloaded && canBeRestored(endpoint)) {
                endpoint.ejection().end();
                weights.beginSlowStart(endpoint, available, false);
                log.add(new EndpointRestored(endpoint.id));
            }
        } else if (failing) {
            ejectIfEnoughRemain(
                    endpoint,
                    BASE_EJECTION_TIME_MS,
                    MIN_REMAINING_SHARE_OUTLIERS,
                    new EndpointEjected(
                            endpoint.id, EjectionReason.FAILURES, failureShare, fleetFailureShare));
        } else if (overloaded) {
            ejectIfEnoughRemain(
                    endpoint,
                    0,
                    MIN_REMAINING_SHARE_OUTLIERS,
                    new EndpointEjected(
                            endpoint.id,
                            EjectionReason.OVERLOAD,
                            stats.smoothedLoad(),
                            loads.meanLoad()));
        }
    }

    private boolean canBeRestored(Endpoint endpoint) {
        return time.now() >= endpoint.ejection().earliestEnd()
                && (!healthChecks.isEnabled()
                        || endpoint.healthChecks().passed() >= PASSED_CHECKS_TO_RESTORE);
    }

    /**
     * Ejects an endpoint if enough other endpoints remain in each of its tables. Otherwise the
     * ejection could overload the remaining endpoints.
     *
     * @param firstDurationMs duration of the ejection if it is not an early repetition
     * @param minRemainingShare minimum share of each table that must remain
     * @param event the event to log
     */
    private void ejectIfEnoughRemain(
            Endpoint endpoint,
            double firstDurationMs,
            double minRemainingShare,
            EndpointEjected event) {
        boolean enoughRemain =
                tables.all().stream()
                        .filter(table -> table.hasEntryOf(endpoint))
                        .allMatch(table -> canLoseEntry(table, minRemainingShare));
        if (!enoughRemain) {
            return;
        }
        Ejection ejection = endpoint.ejection();
        boolean isRepetition = time.now() - ejection.earliestEnd() < MAX_EJECTION_TIME_MS;
        double repetitionDurationMs =
                Math.max(BASE_EJECTION_TIME_MS / 4, 2 * ejection.durationMs());
        ejection.begin(
                time.now(),
                isRepetition
                        ? Math.min(MAX_EJECTION_TIME_MS, repetitionDurationMs)
                        : firstDurationMs);
        endpoint.healthChecks().resetPassed();
        log.add(event);
    }

    private boolean canLoseEntry(RoutingTable table, double minRemainingShare) {
        double available =
                SequentialSum.of(table.entries(), entry -> entry.endpoint().isAvailable() ? 1 : 0);
        return weights.activeEntryCount(table) >= 1 + Math.max(1, minRemainingShare * available);
    }

    /** Restores all endpoints of a full table if the table would have no active entry otherwise. */
    void restoreIfNoneLeft(RoutingTable fullTable) {
        if (fullTable.entries().isEmpty()
                || SequentialSum.of(fullTable.entries(), weights::effectiveWeight) != 0) {
            return;
        }
        weights.releaseWarmingEndpoints();
        fullTable.endpoints().forEach(endpoint -> endpoint.ejection().end());
        log.add(new TableRestored(fullTable.number()));
    }
}
