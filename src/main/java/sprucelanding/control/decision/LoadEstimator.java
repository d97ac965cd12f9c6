package sprucelanding.control.decision;

import java.util.List;

/**
 * Estimator of the load and speed of each endpoint, and of the load of the whole fleet. The
 * estimates are based on load reports and health checks. Evidence decays with its age; evidence of
 * speed decays more slowly than evidence of health. Times are ms on the host's clock.
 */
final class LoadEstimator {
    /** Time in which evidence of an endpoint's speed decays to 1/e. */
    private static final double SPEED_EVIDENCE_DECAY_MS = 6000;

    /**
     * Time in which evidence of an endpoint's speed decays to 1/e while requests are shed. Single
     * attempts are less informative then, because queues are full.
     */
    private static final double OVERLOAD_SPEED_EVIDENCE_DECAY_MS = 18_000;

    /** Time in which evidence of an endpoint's health decays to 1/e. */
    private static final double HEALTH_EVIDENCE_DECAY_MS = 2500;

    /** Weight of the speed prior, as a share of the mean evidence of a reporting endpoint. */
    private static final double PRIOR_EVIDENCE_SHARE = 0.3;

    /** Number of first periodic updates in which the last reported load is used unsmoothed. */
    private static final int UNSMOOTHED_UPDATES = 2;

    /** Number of report intervals until load reports include the traffic of a new proxy. */
    private static final double SETTLING_REPORT_INTERVALS = 3;

    /** Number of report intervals within which an endpoint in service completes a request. */
    private static final double COMPLETION_REPORT_INTERVALS = 1.5;

    private final EventTime time;
    private final SlowStart slowStart;
    private final SpeedPrior speedPrior;
    private double reportIntervalMs;
    private double statsSettlingTime;
    private double maxReportAgeMs;
    private boolean hasReports;
    private double meanLoad;
    private double failureShare;

    LoadEstimator(EventTime time, SlowStart slowStart, SpeedPrior speedPrior) {
        this.time = time;
        this.slowStart = slowStart;
        this.speedPrior = speedPrior;
    }

    /** Configures the interval between two load reports of a proxy. */
    void configure(double intervalMs) {
        reportIntervalMs = intervalMs;
        statsSettlingTime = SETTLING_REPORT_INTERVALS * intervalMs;
        maxReportAgeMs = 2 * intervalMs + HealthCheckScheduler.CHECK_INTERVAL_MS;
    }

    /** Returns the time until load reports include the traffic of a new proxy, ms. */
    double statsSettlingTime() {
        return statsSettlingTime;
    }

    /** Returns whether any load report has been received. */
    boolean hasReports() {
        return hasReports;
    }

    /**
     * Returns the mean smoothed load of the endpoints in service, weighted by their traffic; 1 is
     * full load.
     */
    double meanLoad() {
        return meanLoad;
    }

    /** Returns the share of the recent attempts at all endpoints that failed. */
    double failureShare() {
        return failureShare;
    }

    /**
     * Records a load report about an endpoint. Implausible numbers are replaced by the nearest
     * plausible numbers. The parameters are those of {@link
     * RoutingController#endpointStatsReported}.
     */
    void requestsReported(
            Endpoint endpoint, int attempts, int failed, double responseTime, double load) {
        EndpointStats stats = endpoint.stats();
        if (attempts <= 0 || time.now() < stats.ignoreReportsUntil()) {
            return;
        }
        stats.requestsReported(
                attempts,
                Math.max(0, Math.min(failed, attempts)),
                InputLimits.limitedResponseTime(responseTime),
                time.now());
        boolean hasNewerCheck = time.now() - stats.lastCheckReportAt() < maxReportAgeMs / 2;
        stats.loadReported(hasNewerCheck ? Double.NaN : load, time.now());
        hasReports = true;
    }

    /**
     * Records a health check result. An endpoint that completes requests but does not respond to
     * the check in time is assumed to be fully loaded.
     *
     * @param load load that the endpoint reported; NaN if none
     */
    void healthCheckReported(Endpoint endpoint, HealthCheckResult result, double load) {
        EndpointStats stats = endpoint.stats();
        if (load >= 0) {
            stats.checkReportedLoadAt(time.now());
        }
        boolean isFull = result == HealthCheckResult.TIMED_OUT && completesRequests(endpoint);
        stats.loadReported(isFull ? 1 : load, time.now());
    }

    /**
     * Returns whether the endpoint has completed requests recently. Also returns true while too
     * little time has passed since the controller's start to know.
     */
    boolean completesRequests(Endpoint endpoint) {
        double sinceLast = time.now() - endpoint.stats().lastCompletedAt();
        return sinceLast < COMPLETION_REPORT_INTERVALS * reportIntervalMs
                || time.updateCount() * EventTime.UPDATE_INTERVAL_MS < statsSettlingTime;
    }

    /**
     * Resets the statistics after the endpoint has started a new process. Load reports are ignored
     * for two report intervals, because they may still describe the old process.
     *
     * @param onFirstList whether the endpoint is on the first list since the start; its reports are
     *     not ignored then
     */
    void newProcessStarted(Endpoint endpoint, boolean onFirstList) {
        endpoint.stats().newProcessStarted(onFirstList ? 0 : time.now() + 2 * reportIntervalMs);
    }

    /** Returns whether the load of the endpoint was reported recently. */
    boolean hasFreshReport(Endpoint endpoint) {
        return time.now() - endpoint.stats().lastLoadReportAt() < maxReportAgeMs;
    }

    /**
     * Updates the loads of the endpoints and of the fleet. Called once in each periodic update.
     *
     * @param available the available endpoints
     * @param overloaded whether requests are shed
     */
    LoadSummary update(List<Endpoint> available, boolean overloaded) {
        ageEvidence(available, overloaded);
        List<Endpoint> fresh =
                available.stream()
                        .filter(endpoint -> !endpoint.isEjected() && hasFreshReport(endpoint))
                        .toList();
        double totalWeight =
                Math.max(Double.MIN_NORMAL, SequentialSum.of(fresh, Endpoint::totalSentWeight));
        double load =
                SequentialSum.of(fresh, e -> e.stats().load() * e.totalSentWeight()) / totalWeight;
        meanLoad =
                SequentialSum.of(fresh, e -> e.stats().smoothedLoad() * e.totalSentWeight())
                        / totalWeight;

        double failed = SequentialSum.of(available, endpoint -> endpoint.stats().failedAttempts());
        double succeeded =
                SequentialSum.of(available, endpoint -> endpoint.stats().attempts()) - failed;
        double responseTimeSum =
                SequentialSum.of(available, endpoint -> endpoint.stats().responseTimeSum());
        failureShare = failed / (failed + succeeded + 1);

        List<Endpoint> reporting =
                available.stream()
                        .filter(e -> !e.isEjected() && e.stats().completed() > 0)
                        .toList();
        speedPrior.learn(
                available, reporting.stream().filter(e -> !slowStart.isWarmingUp(e)).toList());
        return new LoadSummary(
                load,
                responseTimeSum / (succeeded + 1),
                SequentialSum.of(reporting, endpoint -> endpoint.stats().busyTime()),
                SequentialSum.of(reporting, endpoint -> endpoint.stats().completed()),
                reporting.size());
    }

    private void ageEvidence(List<Endpoint> available, boolean overloaded) {
        double interval = EventTime.UPDATE_INTERVAL_MS;
        double keptSpeedEvidence =
                StrictMath.exp(
                        -interval
                                / (overloaded
                                        ? OVERLOAD_SPEED_EVIDENCE_DECAY_MS
                                        : SPEED_EVIDENCE_DECAY_MS));
        boolean isSmoothed = time.updateCount() > UNSMOOTHED_UPDATES;
        for (Endpoint endpoint : available) {
            boolean fresh = hasFreshReport(endpoint);
            endpoint.stats().accumulateBusyTime(keptSpeedEvidence, fresh, interval);
            double keptLoadShare = fresh ? isSmoothed ? keptHealthEvidence() : 0 : 1;
            endpoint.stats().smoothLoad(keptLoadShare);
        }
    }

    private static double keptHealthEvidence() {
        return StrictMath.exp(-EventTime.UPDATE_INTERVAL_MS / HEALTH_EVIDENCE_DECAY_MS);
    }

    /**
     * Estimates the speed of each endpoint: its number of completed requests per ms of busy time,
     * divided by the mean of all endpoints. An endpoint without evidence gets the prior estimate.
     */
    void updateSpeeds(List<Endpoint> available, LoadSummary summary) {
        for (Endpoint endpoint : available) {
            EndpointStats stats = endpoint.stats();
            stats.decayHealthEvidence(keptHealthEvidence());
            stats.setSpeed(speed(endpoint, summary));
        }
    }

    private double speed(Endpoint endpoint, LoadSummary summary) {
        double expected = speedPrior.expected(endpoint);
        if (summary.busyTime() <= 0) {
            return expected;
        }
        EndpointStats stats = endpoint.stats();
        double priorCompleted = PRIOR_EVIDENCE_SHARE * summary.completed() / summary.reporting();
        double priorBusyTime = PRIOR_EVIDENCE_SHARE * summary.busyTime() / summary.reporting();
        return (stats.completed() + priorCompleted * expected)
                / (stats.busyTime() + priorBusyTime)
                * summary.busyTime()
                / summary.completed();
    }
}
