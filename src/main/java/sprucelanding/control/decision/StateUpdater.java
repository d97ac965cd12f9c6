package sprucelanding.control.decision;

import java.util.Collection;
import java.util.List;

/**
 * Updater of the controller's state. The state is updated after a change of the endpoint list or a
 * health check result, and once in each update interval. This class defines the order of the steps;
 * the classes that it calls make the decisions.
 */
final class StateUpdater {
    private final DecisionLog log;
    private final RequestClass[] requestClasses;
    private final EndpointRegistry endpoints;
    private final ProxyRegistry proxies;
    private final RoutingTables tables;
    private final ChannelBudget channel;
    private final HealthCheckScheduler healthChecks;
    private final LoadEstimator loads;
    private final WeightPolicy weights;
    private final AdmissionController admission;
    private final WarmUpLimiter warmUpLimiter;
    private final SubsetAllocator subsets;
    private final OutputScheduler scheduler;
    private final DrainReporter drainReporter;
    private final OutlierDetector outliers;

    StateUpdater(
            ControllerState state,
            SubsetAllocator subsets,
            OutputScheduler scheduler,
            DrainReporter drainReporter) {
        log = state.log();
        requestClasses = state.requestClasses();
        endpoints = state.endpoints();
        proxies = state.proxies();
        tables = state.tables();
        channel = state.channel();
        healthChecks = state.healthChecks();
        loads = state.loads();
        weights = state.weights();
        admission = state.admission();
        warmUpLimiter = state.warmUpLimiter();
        this.subsets = subsets;
        this.scheduler = scheduler;
        this.drainReporter = drainReporter;
        outliers =
                new OutlierDetector(
                        state.time(), log, tables, loads, weights, admission, healthChecks);
    }

    /**
     * Updates the tables after a change of the endpoint list or a health check result. New and
     * restarted endpoints begin their slow start.
     */
    void updateFromEndpointList() {
        endpoints.refreshAvailable();
        List<Endpoint> available = endpoints.available();
        for (Endpoint endpoint : available) {
            if (endpoint.isEnteringService()) {
                enterService(endpoint);
            }
        }
        double demand = SequentialSum.of(List.of(requestClasses), RequestClass::demand);
        healthChecks.scheduleChecks(available, demand, endpoints.isFirstList());
        endpoints.tablesUpdated();
        if (endpoints.takeListUpdated()) {
            subsets.endpointListUpdated(available);
            scheduler.endpointListUpdated(available);
        }
        ejectUnresponsive();
    }

    private void enterService(Endpoint endpoint) {
        boolean onFirstList = endpoints.isFirstList();
        loads.newProcessStarted(endpoint, onFirstList);
        endpoint.healthChecks().newProcessStarted();
        // The list may be wrong, and requests to an endpoint that does not exist would fail.
        // A new endpoint therefore has to pass health checks first.
        endpoint.ejection().newProcessStarted(healthChecks.isEnabled() && !onFirstList);
        weights.beginSlowStart(endpoint, endpoints.available(), onFirstList);
        if (!onFirstList) {
            scheduler.endpointReturned(endpoint);
        }
    }

    private void ejectUnresponsive() {
        List<Endpoint> available = endpoints.available();
        outliers.ejectUnresponsive(available);
        scheduler.releaseEmptiedStarterTables(weights);
        for (RoutingTable fullTable : tables.full()) {
            outliers.restoreIfNoneLeft(fullTable);
            subsets.reallocateIfEmptied(fullTable, available);
        }
    }

    /** Updates the statistics, weights and admissions. Called once in each update interval. */
    void periodicUpdate() {
        Collection<Endpoint> removed = endpoints.removeExpired();
        if (!removed.isEmpty()) {
            scheduler.endpointsForgotten(removed);
        }
        drainReporter.report();
        scheduler.releaseStarterTables();
        channel.measureRate(proxies.size());

        List<Endpoint> available = endpoints.available();
        LoadSummary summary = loads.update(available, admission.isOverloaded());
        outliers.update(available, subsets.hasNormalSize());
        loads.updateSpeeds(available, summary);
        admission
                .update(proxies.all(), summary.load(), summary.responseTime(), loads.failureShare())
                .ifPresent(log::add);
        warmUpLimiter.updateTableLoads(admission.isOverloaded());
        weights.decideWithholding(available, proxies);
        ejectUnresponsive();
        subsets.resize(available, summary.load(), admission.isOverloaded());
        if (summary.busyTime() > 0) {
            weights.updateWeights(available);
        }
    }
}
