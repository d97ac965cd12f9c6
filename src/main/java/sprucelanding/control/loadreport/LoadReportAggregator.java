package sprucelanding.control.loadreport;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Takes reports as they come and tells the sums once a period, so many lines a second at most, the
 * oldest first; what does not fit adds up. A report that repeats the one before, or that cannot be
 * true, is left out as a whole and said so; one that covers a long time keeps its counts and loses
 * its loads, for they tell of a time gone by.
 */
public final class LoadReportAggregator {
    private static final double MAX_ATTEMPTS_PER_SECOND =
            100_000; // tries of one proxy at one replica; beyond is absurd
    private static final double MAX_LOAD_AGE_PERIODS =
            3; // periods covered, past which loads are too old to steer by
    private static final int MAX_REMEMBERED_PROXIES = 4096; // whose last report is remembered
    private static final double MAX_LOAD_PER_SAMPLE =
            1.5; // answers may outnumber tries of the span: some were under way

    private static final class EndpointTotals {
        long attempts;
        long failed;
        long completed;
        double totalResponseMillis;
        double loadSum;
        long loadSamples;
    }

    private record DemandKey(int proxyId, int requestClass) {}

    private static final class DemandTotals {
        long count;
        double spanMillis;
    }

    private final int requestClassCount;
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
    private double allowance;
    private long rejectedReports;
    private long repeatedReports;
    private boolean hasBacklog;

    /**
     * @param every ms between sums
     * @param linesPerSecond lines that are told in a second at most
     */
    public LoadReportAggregator(int requestClassCount, double periodMillis, double linesPerSecond) {
        this.requestClassCount = requestClassCount;
        this.periodMillis = periodMillis;
        this.linesPerSecond = linesPerSecond;
    }

    /** Why a report cannot be true; null if it can. */
    private String implausibility(LoadReport report) {
        if (!(report.spanMillis() > 0) || report.spanMillis() > 3_600_000) {
            return "it covers " + report.spanMillis() + " ms";
        }
        double maxCount = MAX_ATTEMPTS_PER_SECOND * Math.max(1, report.spanMillis() / 1000);
        if (report.requestsByClass().size() > requestClassCount) {
            return "it names " + report.requestsByClass().size() + " products";
        }
        for (long count : report.requestsByClass()) {
            if (count < 0 || count > maxCount) {
                return "it counts " + count + " txns";
            }
        }
        for (LoadReport.EndpointStats stats : report.endpointStats()) {
            if (stats.issued() < 0
                    || stats.completed() < 0
                    || stats.failed() < 0
                    || stats.loadSamples() < 0
                    || stats.issued() > maxCount
                    || stats.completed() > maxCount
                    || stats.failed() > maxCount) {
                return "it counts "
                        + stats.issued()
                        + " tries, "
                        + stats.completed()
                        + " settled, "
                        + stats.failed()
                        + " voided";
            }
            if (!(stats.totalResponseMillis() >= 0)
                    || stats.totalResponseMillis() > stats.completed() * 3_600_000.0) {
                return "its answers took " + stats.totalResponseMillis() + " ms";
            }
            if (!(stats.loadSum() >= 0)
                    || stats.loadSum() > MAX_LOAD_PER_SAMPLE * stats.loadSamples()) {
                return "its loads sum up to " + stats.loadSum() + " over " + stats.loadSamples();
            }
        }
        return null;
    }

    /** False if the report was left out. */
    public boolean accept(LoadReport report) {
        String problem = implausibility(report);
        if (problem != null) {
            rejectedReports++;
            if (Long.bitCount(rejectedReports)
                    == 1) { // the first, second, fourth ...: a liar must not fill the log
                long total = rejectedReports;
                pendingLogs.add(
                        sink ->
                                sink.log(
                                        "a report left out",
                                        "proxy",
                                        report.proxyId(),
                                        "why",
                                        problem,
                                        "soFar",
                                        total));
            }
            return false;
        }
        if (report.equals(lastReportByProxy.put(report.proxyId(), report))
                && !report.endpointStats().isEmpty()) {
            repeatedReports++;
            if (Long.bitCount(repeatedReports) == 1) {
                long total = repeatedReports;
                pendingLogs.add(
                        sink ->
                                sink.log(
                                        "a report repeats the one before",
                                        "proxy",
                                        report.proxyId(),
                                        "soFar",
                                        total));
            }
            return false;
        }
        boolean outdated = report.spanMillis() > MAX_LOAD_AGE_PERIODS * periodMillis;
        for (LoadReport.EndpointStats stats : report.endpointStats()) {
            long finished = stats.completed() + stats.failed();
            if (finished > 0) {
                EndpointTotals totals =
                        endpointTotalsById.computeIfAbsent(
                                stats.endpointId(), id -> new EndpointTotals());
                totals.attempts += finished;
                totals.failed += stats.failed();
                totals.completed += stats.completed();
                totals.totalResponseMillis += stats.totalResponseMillis();
                if (!outdated) {
                    totals.loadSum += stats.loadSum();
                    totals.loadSamples += stats.loadSamples();
                }
            }
        }
        for (int requestClass = 0; requestClass < report.requestsByClass().size(); requestClass++) {
            DemandTotals totals =
                    demandTotals.computeIfAbsent(
                            new DemandKey(report.proxyId(), requestClass),
                            key -> new DemandTotals());
            totals.count += report.requestsByClass().get(requestClass);
            totals.spanMillis += report.spanMillis();
        }
        return true;
    }

    public void proxyLeft(int proxyId) {
        lastReportByProxy.remove(proxyId);
        demandTotals.keySet().removeIf(key -> key.proxyId == proxyId);
    }

    /**
     * Once a period: what may be told of the sums, the oldest first. Reports of tries go before
     * those of demand.
     */
    public void periodElapsed(LoadReportSink sink) {
        pendingLogs.forEach(logCall -> logCall.accept(sink));
        pendingLogs.clear();
        allowance =
                Math.min(2, allowance / (linesPerSecond * periodMillis / 1000))
                                * linesPerSecond
                                * periodMillis
                                / 1000
                        + linesPerSecond * periodMillis / 1000;
        for (Iterator<Map.Entry<Long, EndpointTotals>> iterator =
                        endpointTotalsById.entrySet().iterator();
                iterator.hasNext() && allowance >= 1;
                allowance--) {
            Map.Entry<Long, EndpointTotals> entry = iterator.next();
            EndpointTotals totals = entry.getValue();
            sink.endpointStatsReported(
                    entry.getKey(),
                    toIntSaturated(totals.attempts),
                    toIntSaturated(totals.failed),
                    totals.completed > 0 ? totals.totalResponseMillis / totals.completed : 0,
                    totals.loadSamples > 0
                            ? Math.min(1, totals.loadSum / totals.loadSamples)
                            : Double.NaN);
            iterator.remove();
        }
        for (Iterator<Map.Entry<DemandKey, DemandTotals>> iterator =
                        demandTotals.entrySet().iterator();
                iterator.hasNext() && allowance >= 1;
                allowance--) {
            Map.Entry<DemandKey, DemandTotals> entry = iterator.next();
            sink.demandReported(
                    entry.getKey().proxyId,
                    entry.getKey().requestClass,
                    toIntSaturated(entry.getValue().count),
                    entry.getValue().spanMillis);
            iterator.remove();
        }
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
