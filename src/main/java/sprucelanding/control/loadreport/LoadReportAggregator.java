package sprucelanding.control.loadreport;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Takes load reports as they come and passes on their sums once a period: at most so many lines a
 * second, the oldest first; what does not fit is added up. A report that repeats the previous one
 * of its proxy, or that cannot be true, is left out as a whole and logged. One that covers a long
 * time keeps its counts and loses its loads, for they tell of a time gone by. Not safe for use by
 * several threads.
 */
public final class LoadReportAggregator {
    /** Periods covered by a report, past which its loads are too old to steer by. */
    private static final double MAX_LOAD_AGE_PERIODS = 3;

    /** Proxies of which the latest report is remembered. */
    private static final int MAX_REMEMBERED_PROXIES = 4096;

    /** Periods of which lines that were not used may be added up. */
    private static final double MAX_SAVED_PERIODS = 2;

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
    private final double linesPerSecond;
    private final LinkedHashMap<Long, EndpointTotals> endpointTotalsById = new LinkedHashMap<>();
    private final LinkedHashMap<DemandKey, DemandTotals> demandTotals = new LinkedHashMap<>();
    private final Map<Integer, LoadReport> lastReportByProxy =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Integer, LoadReport> eldest) {
                    return size() > MAX_REMEMBERED_PROXIES;
                }
            };
    private final List<Consumer<LoadReportSink>> pendingLogs = new ArrayList<>();

    /** Lines that may be passed on now. */
    private double allowance;

    private long rejectedReports;
    private long repeatedReports;
    private boolean hasBacklog;

    /**
     * An aggregator that has seen no report.
     *
     * @param requestClassCount how many request classes the site has
     * @param periodMillis ms between two sums
     * @param linesPerSecond the most lines that are passed on in a second
     */
    public LoadReportAggregator(int requestClassCount, double periodMillis, double linesPerSecond) {
        this.validator = new LoadReportValidator(requestClassCount);
        this.periodMillis = periodMillis;
        this.linesPerSecond = linesPerSecond;
    }

    /** Adds a report to the sums; false if it was left out. */
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
            pendingLogs.add(
                    sink ->
                            sink.log(
                                    "a report left out",
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
            pendingLogs.add(
                    sink ->
                            sink.log(
                                    "a report repeats the one before",
                                    "proxy",
                                    proxyId,
                                    "soFar",
                                    total));
        }
    }

    /** The first, second, fourth ... are logged, so that one proxy cannot fill the log. */
    private static boolean isPowerOfTwo(long count) {
        return Long.bitCount(count) == 1;
    }

    private void addEndpointStats(LoadReport report) {
        boolean outdated = report.spanMillis() > MAX_LOAD_AGE_PERIODS * periodMillis;
        for (LoadReport.EndpointStats stats : report.endpointStats()) {
            if (stats.completed() + stats.failed() > 0) {
                endpointTotalsById
                        .computeIfAbsent(stats.endpointId(), id -> new EndpointTotals())
                        .add(stats, !outdated);
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

    /** Forgets the demand and the latest report of a proxy that has disconnected. */
    public void proxyLeft(int proxyId) {
        lastReportByProxy.remove(proxyId);
        demandTotals.keySet().removeIf(key -> key.proxyId == proxyId);
    }

    /**
     * Passes on what may be of the sums, the oldest first, endpoints before demand. To be called
     * once a period.
     */
    public void periodElapsed(LoadReportSink sink) {
        pendingLogs.forEach(logCall -> logCall.accept(sink));
        pendingLogs.clear();
        allowance =
                Math.min(MAX_SAVED_PERIODS, allowance / (linesPerSecond * periodMillis / 1000))
                                * linesPerSecond
                                * periodMillis
                                / 1000
                        + linesPerSecond * periodMillis / 1000;
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
        int waitingLines = endpointTotalsById.size() + demandTotals.size();
        if (waitingLines > 0 != hasBacklog) {
            hasBacklog = waitingLines > 0;
            sink.log(
                    hasBacklog ? "sums wait for their turn" : "all sums are told",
                    "lines",
                    waitingLines,
                    "linesPerSecond",
                    linesPerSecond);
        }
    }

    private static int toIntSaturated(long count) {
        return (int) Math.min(Integer.MAX_VALUE, count);
    }
}
