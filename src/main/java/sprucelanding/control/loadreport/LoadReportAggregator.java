package sprucelanding.control.loadreport;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * An aggregator that collects load reports when they arrive and passes on their totals once a
 * period.
 *
 * <p>A rate limit bounds the totals that are passed on in a second. The oldest totals are passed on
 * first; the others wait and accumulate the reports that follow. A report that repeats the previous
 * report of its proxy, or that has impossible values, is rejected entirely and logged. From a
 * report that covers a long time span only the counts are used, because its loads are outdated.
 *
 * <p>The class is not thread-safe.
 */
public final class LoadReportAggregator {
    /** Time span of a report, in periods, beyond which its loads are too old to be used. */
    private static final double MAX_LOAD_AGE_PERIODS = 3;

    /** Greatest number of proxies whose latest report is kept. */
    private static final int MAX_TRACKED_PROXIES = 4096;

    /** Greatest unused allowance that is carried over to the next period, in periods. */
    private static final double MAX_ALLOWANCE_PERIODS = 2;

    private static final class EndpointTotals {
        private long attempts;
        private long failed;
        private long completed;
        private double totalResponseMillis;
        private double loadSum;
        private long loadSamples;

        void add(LoadReport.EndpointStats stats, boolean withLoads) {
            attempts += stats.completed() + stats.failed();
            failed += stats.failed();
            completed += stats.completed();
            totalResponseMillis += stats.totalResponseMillis();
            if (withLoads) {
                loadSum += stats.loadSum();
                loadSamples += stats.loadSamples();
            }
        }

        void sendTo(LoadReportSink sink, long endpointId) {
            sink.endpointStatsReported(
                    endpointId,
                    toIntSaturated(attempts),
                    toIntSaturated(failed),
                    completed > 0 ? totalResponseMillis / completed : 0,
                    loadSamples > 0 ? Math.min(1, loadSum / loadSamples) : Double.NaN);
        }
    }

    private record DemandKey(int proxyId, int requestClass) {}

    private static final class DemandTotals {
        private long count;
        private double spanMillis;

        void add(long requestCount, double reportSpanMillis) {
            count += requestCount;
            spanMillis += reportSpanMillis;
        }

        void sendTo(LoadReportSink sink, DemandKey key) {
            sink.demandReported(key.proxyId, key.requestClass, toIntSaturated(count), spanMillis);
        }
    }

    private final LoadReportValidator validator;
    private final double periodMillis;
    private final double maxTotalsPerSecond;
    private final LinkedHashMap<Long, EndpointTotals> endpointTotalsById = new LinkedHashMap<>();
    private final LinkedHashMap<DemandKey, DemandTotals> demandTotals = new LinkedHashMap<>();
    private final Map<Integer, LoadReport> lastReportByProxy =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Integer, LoadReport> eldest) {
                    return size() > MAX_TRACKED_PROXIES;
                }
            };
    private final List<Consumer<LoadReportSink>> pendingLogCalls = new ArrayList<>();

    /** Number of totals that may be passed on now. */
    private double allowance;

    private long rejectedReports;
    private long repeatedReports;
    private boolean hasBacklog;

    /**
     * Creates an aggregator without reports.
     *
     * @param requestClassCount number of the site's request classes
     * @param periodMillis time between two calls of {@link #periodElapsed}, ms
     * @param maxTotalsPerSecond greatest number of totals that are passed on in a second
     */
    public LoadReportAggregator(
            int requestClassCount, double periodMillis, double maxTotalsPerSecond) {
        this.validator = new LoadReportValidator(requestClassCount);
        this.periodMillis = periodMillis;
        this.maxTotalsPerSecond = maxTotalsPerSecond;
    }

    /** Adds a report to the totals. Returns false if the report was rejected. */
    public boolean accept(LoadReport report) {
        Optional<String> problem = validator.problem(report);
        if (problem.isPresent()) {
            logRejected(report.proxyId(), problem.get());
            return false;
        }
        LoadReport previous = lastReportByProxy.put(report.proxyId(), report);
        if (report.equals(previous) && !report.endpointStats().isEmpty()) {
            logRepeated(report.proxyId());
            return false;
        }
        addEndpointStats(report);
        addDemand(report);
        return true;
    }

    private void logRejected(int proxyId, String problem) {
        rejectedReports++;
        if (isPowerOfTwo(rejectedReports)) {
            long total = rejectedReports;
            pendingLogCalls.add(
                    sink ->
                            sink.log(
                                    "load report rejected",
                                    "proxy",
                                    proxyId,
                                    "why",
                                    problem,
                                    "soFar",
                                    total));
        }
    }

    private void logRepeated(int proxyId) {
        repeatedReports++;
        if (isPowerOfTwo(repeatedReports)) {
            long total = repeatedReports;
            pendingLogCalls.add(
                    sink ->
                            sink.log(
                                    "load report repeats the previous one",
                                    "proxy",
                                    proxyId,
                                    "soFar",
                                    total));
        }
    }

    /** Limits the log to the first, second, fourth ... event, so that no proxy can fill the log. */
    private static boolean isPowerOfTwo(long count) {
        return Long.bitCount(count) == 1;
    }

    private void addEndpointStats(LoadReport report) {
        boolean isOutdated = report.spanMillis() > MAX_LOAD_AGE_PERIODS * periodMillis;
        for (LoadReport.EndpointStats stats : report.endpointStats()) {
            if (stats.completed() + stats.failed() > 0) {
                endpointTotalsById
                        .computeIfAbsent(stats.endpointId(), id -> new EndpointTotals())
                        .add(stats, !isOutdated);
            }
        }
    }

    private void addDemand(LoadReport report) {
        for (int requestClass = 0; requestClass < report.requestsByClass().size(); requestClass++) {
            demandTotals
                    .computeIfAbsent(
                            new DemandKey(report.proxyId(), requestClass),
                            key -> new DemandTotals())
                    .add(report.requestsByClass().get(requestClass), report.spanMillis());
        }
    }

    /** Discards the demand and the latest report of a proxy that has disconnected. */
    public void proxyLeft(int proxyId) {
        lastReportByProxy.remove(proxyId);
        demandTotals.keySet().removeIf(key -> key.proxyId == proxyId);
    }

    /**
     * Passes on totals up to the rate limit, endpoints before demand and the oldest first. The
     * caller must call this once a period.
     */
    public void periodElapsed(LoadReportSink sink) {
        pendingLogCalls.forEach(logCall -> logCall.accept(sink));
        pendingLogCalls.clear();
        allowance =
                Math.min(
                                        MAX_ALLOWANCE_PERIODS,
                                        allowance / (maxTotalsPerSecond * periodMillis / 1000))
                                * maxTotalsPerSecond
                                * periodMillis
                                / 1000
                        + maxTotalsPerSecond * periodMillis / 1000;
        Iterator<Map.Entry<Long, EndpointTotals>> endpoints =
                endpointTotalsById.entrySet().iterator();
        while (endpoints.hasNext() && allowance >= 1) {
            Map.Entry<Long, EndpointTotals> entry = endpoints.next();
            entry.getValue().sendTo(sink, entry.getKey());
            endpoints.remove();
            allowance--;
        }
        Iterator<Map.Entry<DemandKey, DemandTotals>> demands = demandTotals.entrySet().iterator();
        while (demands.hasNext() && allowance >= 1) {
            Map.Entry<DemandKey, DemandTotals> entry = demands.next();
            entry.getValue().sendTo(sink, entry.getKey());
            demands.remove();
            allowance--;
        }
        logBacklogChange(sink);
    }

    private void logBacklogChange(LoadReportSink sink) {
        int waitingTotals = endpointTotalsById.size() + demandTotals.size();
        if (waitingTotals > 0 != hasBacklog) {
            hasBacklog = waitingTotals > 0;
            sink.log(
                    hasBacklog
                            ? "load report totals delayed by rate limit"
                            : "no load report totals are delayed",
                    "lines",
                    waitingTotals,
                    "linesPerSecond",
                    maxTotalsPerSecond);
        }
    }

    private static int toIntSaturated(long count) {
        return (int) Math.min(Integer.MAX_VALUE, count);
    }
}
