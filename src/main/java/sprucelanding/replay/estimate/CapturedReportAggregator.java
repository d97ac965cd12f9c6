package sprucelanding.replay.estimate;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.TreeMap;
import sprucelanding.replay.capture.CaptureEvent;

/**
 * An aggregator that sums captured load reports by window: coverage, outcomes by endpoint, outcomes
 * by pair of zones, and demand. In the capture of a governor the counts of a report follow the
 * report's header.
 */
final class CapturedReportAggregator {
    private final EndpointHistory endpointHistory;
    private final DemandEstimator demandEstimator;
    private final Map<Integer, ReportHeader> lastReportByGovernor = new HashMap<>();
    private final Map<ProxyKey, Integer> zoneByProxy = new HashMap<>();
    private final ReportCoverage coverage = new ReportCoverage();
    private final ZonePairOutcomes zonePairOutcomes = new ZonePairOutcomes();
    private final TreeMap<Long, TreeMap<Integer, EndpointWindow>> windowsByEndpoint =
            new TreeMap<>();

    CapturedReportAggregator(EndpointHistory endpointHistory, DemandEstimator demandEstimator) {
        this.endpointHistory = endpointHistory;
        this.demandEstimator = demandEstimator;
    }

    /** Removes the proxies of a governor, because a new generation assigns new proxy numbers. */
    void startGeneration(int governor) {
        zoneByProxy.keySet().removeIf(proxy -> proxy.governor() == governor);
    }

    void proxyJoined(ProxyKey proxy, int zone) {
        zoneByProxy.put(proxy, zone);
    }

    /** Adds the header of a report: {@link sprucelanding.replay.capture.EventType#REPORT}. */
    void onReport(int governor, CaptureEvent event) {
        ReportHeader report =
                new ReportHeader(
                        new ProxyKey(governor, event.intAt(1)), event.at(), event.doubleAt(2));
        lastReportByGovernor.put(governor, report);
        coverage.add(report.at() - report.spanMillis(), report.at());
    }

    /** Adds one endpoint's counts: {@link sprucelanding.replay.capture.EventType#REPORT_MET}. */
    void onEndpointStats(int governor, CaptureEvent event) {
        lastReport(governor).ifPresent(report -> addEndpointStats(report, event));
    }

    /** Adds a request class's count: {@link sprucelanding.replay.capture.EventType#REPORT_CAME}. */
    void onDemand(int governor, CaptureEvent event) {
        lastReport(governor)
                .ifPresent(
                        report ->
                                demandEstimator.addDemand(report, event.intAt(0), event.longAt(1)));
    }

    private Optional<ReportHeader> lastReport(int governor) {
        return Optional.ofNullable(lastReportByGovernor.get(governor));
    }

    private void addEndpointStats(ReportHeader report, CaptureEvent event) {
        long endpointId = event.longAt(0);
        long completed = event.longAt(2);
        long failed = event.longAt(3);
        int window = TimeWindows.indexOf(report.outcomesAt());
        windowsByEndpoint
                .computeIfAbsent(endpointId, key -> new TreeMap<>())
                .computeIfAbsent(window, key -> new EndpointWindow())
                .add(completed, failed, event.doubleAt(5), event.longAt(6));
        Integer fromZone = zoneByProxy.get(report.proxy());
        OptionalInt toZone = endpointHistory.zoneOf(endpointId);
        if (fromZone != null && toZone.isPresent()) {
            zonePairOutcomes.add(
                    fromZone,
                    toZone.getAsInt(),
                    window,
                    new ZonePairOutcomes.Outcomes(completed, failed));
        }
        demandEstimator.addCompleted(report, completed);
    }

    ReportCoverage coverage() {
        return coverage;
    }

    ZonePairOutcomes zonePairOutcomes() {
        return zonePairOutcomes;
    }

    /** Returns the windows by window index, by endpoint id; both in ascending order. */
    TreeMap<Long, TreeMap<Integer, EndpointWindow>> windowsByEndpoint() {
        return windowsByEndpoint;
    }
}
