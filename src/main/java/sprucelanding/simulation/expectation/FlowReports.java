package sprucelanding.simulation.expectation;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sprucelanding.control.loadreport.LoadReport;
import sprucelanding.simulation.scenario.Scenario;

/** A generator of the endpoint loads of a flow and of the load reports of its proxies. */
final class FlowReports {
    private static final double MAX_UTILIZATION = 0.98;

    /** Lower bound of the idle share in the computation of a latency. */
    private static final double MIN_IDLE_SHARE = 0.02;

    /**
     * Step by which the spans of reports differ, because equal reports are dropped as duplicates.
     */
    private static final double SPAN_STEP_MS = 0.01;

    private static final int SPAN_STEPS = 7;

    private final Scenario scenario;
    private final Map<Long, FlowEndpoint> endpointsById;

    FlowReports(Scenario scenario, Map<Long, FlowEndpoint> endpointsById) {
        this.scenario = scenario;
        this.endpointsById = endpointsById;
    }

    /**
     * Updates the utilization of all endpoints.
     *
     * @param requestsPerSecond request rate of each proxy
     */
    void updateUtilizations(
            List<FlowEndpoint> endpoints, List<FlowProxy> proxies, double requestsPerSecond) {
        double[] loads = new double[endpoints.size()];
        for (FlowProxy proxy : proxies) {
            for (int i = 0; i < scenario.products().size(); i++) {
                addLoads(loads, proxy, i, requestsPerSecond);
            }
        }
        for (FlowEndpoint endpoint : endpoints) {
            endpoint.updateUtilization(loads[endpoint.position()]);
        }
    }

    private void addLoads(
            double[] loads, FlowProxy proxy, int requestClass, double requestsPerSecond) {
        Scenario.RequestClassSettings settings = scenario.products().get(requestClass);
        double workMillisPerMilli =
                requestsPerSecond
                        / 1000
                        * settings.part()
                        * settings.work()
                        * proxy.admittedShare(requestClass);
        proxy.trafficShares(requestClass)
                .forEach(
                        (id, share) ->
                                loads[endpointsById.get(id).position()] +=
                                        workMillisPerMilli * share);
    }

    /**
     * Returns the report of a proxy.
     *
     * @param intervalMillis interval between two reports
     * @param sequence number that differs from the number of the previous report
     */
    LoadReport report(
            FlowProxy proxy, double requestsPerSecond, double intervalMillis, long sequence) {
        List<Long> demand = new ArrayList<>();
        Map<Long, Long> attempts = new TreeMap<>();
        for (int i = 0; i < scenario.products().size(); i++) {
            double requests =
                    requestsPerSecond * scenario.products().get(i).part() * intervalMillis / 1000;
            demand.add(Math.round(requests));
            double admitted = requests * proxy.admittedShare(i);
            proxy.trafficShares(i)
                    .forEach(
                            (id, share) ->
                                    attempts.merge(id, Math.round(admitted * share), Long::sum));
        }
        List<LoadReport.EndpointStats> endpointStats = new ArrayList<>();
        attempts.forEach(
                (id, sent) -> {
                    if (sent > 0) {
                        endpointStats.add(stats(endpointsById.get(id), sent));
                    }
                });
        double span = intervalMillis + sequence % SPAN_STEPS * SPAN_STEP_MS;
        return new LoadReport(proxy.number(), span, endpointStats, demand);
    }

    private LoadReport.EndpointStats stats(FlowEndpoint endpoint, long sent) {
        double busyShare = Math.min(MAX_UTILIZATION, endpoint.utilization());
        double latency =
                scenario.products().get(0).work() / Math.max(MIN_IDLE_SHARE, 1 - busyShare);
        return endpoint.isUp()
                ? new LoadReport.EndpointStats(
                        endpoint.id(),
                        sent,
                        sent,
                        0,
                        latency * sent,
                        endpoint.utilization() * sent,
                        sent)
                : new LoadReport.EndpointStats(endpoint.id(), sent, 0, sent, 0, 0, 0);
    }
}
