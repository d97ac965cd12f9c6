package sprucelanding.replay.estimate;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * Infers single requests from the counts in load reports: each count is spread over its report's
 * span, and the expected share of client retries is taken out, because a replay draws retries anew.
 */
final class DemandEstimator {
    private static final int CLIENT_RETRIES = 2;
    private static final long SEED = 1;

    private record DemandCount(ReportHeader report, int requestClass, long count) {}

    /** What was asked for and what was answered within a window, at all endpoints together. */
    private static final class WindowTotals {
        private long completed;
        private long demand;

        double unansweredShare() {
            return demand == 0 ? 0 : Math.max(0, 1 - (double) completed / demand);
        }
    }

    private final double[] workMillisByClass;
    private final long[] demandByClass;
    private final List<DemandCount> demandCounts = new ArrayList<>();
    private final Map<Integer, WindowTotals> totalsByWindow = new HashMap<>();
    private final Map<Reporter, String> nameByReporter = new HashMap<>();
    private double firstRequestAt = Double.POSITIVE_INFINITY;
    private double lastRequestAt = Double.NEGATIVE_INFINITY;

    /**
     * @param workMillisByClass mean work by request class, in ms on a core of speed 1
     */
    DemandEstimator(double[] workMillisByClass) {
        this.workMillisByClass = workMillisByClass.clone();
        this.demandByClass = new long[workMillisByClass.length];
    }

    /** A governor learned the name under which all governors know a proxy. */
    void proxyNamed(Reporter reporter, String name) {
        nameByReporter.put(reporter, name);
    }

    /** Adds a report's count of requests that clients sent; unknown classes are ignored. */
    void addDemand(ReportHeader report, int requestClass, long count) {
        if (count <= 0 || requestClass >= workMillisByClass.length) {
            return;
        }
        demandCounts.add(new DemandCount(report, requestClass, count));
        demandByClass[requestClass] += count;
        totals(report.demandAt()).demand += count;
        firstRequestAt = Math.min(firstRequestAt, report.at() - report.spanMillis());
        lastRequestAt = Math.max(lastRequestAt, report.at());
    }

    /** Adds requests that an endpoint answered. */
    void addCompleted(ReportHeader report, long count) {
        totals(report.outcomesAt()).completed += count;
    }

    private WindowTotals totals(double at) {
        return totalsByWindow.computeIfAbsent(TimeWindows.indexOf(at), key -> new WindowTotals());
    }

    /** Begin of the first report with requests, in ms; infinite if there was none. */
    double firstRequestAt() {
        return firstRequestAt;
    }

    /** End of the last report with requests, in ms; negative infinite if there was none. */
    double lastRequestAt() {
        return lastRequestAt;
    }

    /**
     * Mean work of a request in the mix of classes that clients sent, in ms; 1 if there was none.
     */
    double meanWorkMillis() {
        double totalWork = 0;
        long requests = 0;
        for (int classIndex = 0; classIndex < workMillisByClass.length; classIndex++) {
            totalWork += demandByClass[classIndex] * workMillisByClass[classIndex];
            requests += demandByClass[classIndex];
        }
        return requests == 0 ? 1 : totalWork / requests;
    }

    /** First attempts of clients, in the order of the reports; works are not known. */
    List<EstimatedRequest> inferRequests() {
        Map<String, Integer> positionByName = proxyPositions();
        SplittableRandom random = new SplittableRandom(SEED);
        List<EstimatedRequest> requests = new ArrayList<>();
        for (DemandCount demand : demandCounts) {
            ReportHeader report = demand.report;
            double firstAttemptShare = 1 / expectedAttempts(totals(report.demandAt()));
            Integer proxy = positionByName.get(nameByReporter.getOrDefault(report.reporter(), ""));
            for (long i = 0; proxy != null && i < demand.count; i++) {
                if (random.nextDouble() < firstAttemptShare) {
                    requests.add(
                            new EstimatedRequest(
                                    report.at() - report.spanMillis() * random.nextDouble(),
                                    proxy,
                                    demand.requestClass,
                                    EstimatedRequest.UNKNOWN_WORK));
                }
            }
        }
        return requests;
    }

    /** Proxies by the order of their names, which end in a number without leading zeros. */
    private Map<String, Integer> proxyPositions() {
        TreeSet<String> names =
                new TreeSet<>(
                        Comparator.comparingInt(String::length)
                                .thenComparing(Comparator.naturalOrder()));
        names.addAll(nameByReporter.values());
        Map<String, Integer> positionByName = new HashMap<>();
        names.forEach(name -> positionByName.put(name, positionByName.size()));
        return positionByName;
    }

    private static double expectedAttempts(WindowTotals totals) {
        double unansweredShare = totals.unansweredShare();
        double attemptProbability = 1;
        double expectedAttempts = 1;
        for (int retry = 0; retry < CLIENT_RETRIES; retry++) {
            attemptProbability *= unansweredShare;
            expectedAttempts += attemptProbability;
        }
        return expectedAttempts;
    }
}
