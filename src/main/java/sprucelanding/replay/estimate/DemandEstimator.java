package sprucelanding.replay.estimate;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * An estimator that infers single requests from the counts in load reports. The requests of a count
 * are spread randomly over the span of the report. The expected share of client retries is removed,
 * because a replay generates its own retries.
 */
final class DemandEstimator {
    private static final int MAX_CLIENT_RETRIES = 2;
    private static final long RANDOM_SEED = 1;

    private record DemandCount(ReportHeader report, int requestClass, long count) {}

    /** Requests sent by clients and requests answered by endpoints within a window, fleet-wide. */
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
    private final Map<ProxyKey, String> nameByProxy = new HashMap<>();
    private double firstRequestAt = Double.POSITIVE_INFINITY;
    private double lastRequestAt = Double.NEGATIVE_INFINITY;

    /**
     * Creates an estimator.
     *
     * @param workMillisByClass mean work of a request by request class, in ms on a core of speed 1
     */
    DemandEstimator(double[] workMillisByClass) {
        this.workMillisByClass = workMillisByClass.clone();
        this.demandByClass = new long[workMillisByClass.length];
    }

    /** Sets the name of a proxy. All governors use the same name for a proxy. */
    void proxyNamed(ProxyKey proxy, String name) {
        nameByProxy.put(proxy, name);
    }

    /**
     * Adds a report's count of requests that clients sent in one request class. Counts of unknown
     * classes are ignored.
     */
    void addDemand(ReportHeader report, int requestClass, long count) {
        if (count <= 0 || requestClass >= workMillisByClass.length) {
            return;
        }
        demandCounts.add(new DemandCount(report, requestClass, count));
        demandByClass[requestClass] += count;
        windowTotals(report.demandAt()).demand += count;
        firstRequestAt = Math.min(firstRequestAt, report.at() - report.spanMillis());
        lastRequestAt = Math.max(lastRequestAt, report.at());
    }

    /** Adds a report's count of requests that an endpoint answered. */
    void addCompleted(ReportHeader report, long count) {
        windowTotals(report.outcomesAt()).completed += count;
    }

    private WindowTotals windowTotals(double at) {
        return totalsByWindow.computeIfAbsent(TimeWindows.indexOf(at), key -> new WindowTotals());
    }

    /** Returns the start of the first report with requests, in ms; infinity if there was none. */
    double firstRequestAt() {
        return firstRequestAt;
    }

    /** Returns the end of the last report with requests, in ms; -infinity if there was none. */
    double lastRequestAt() {
        return lastRequestAt;
    }

    /**
     * Returns the mean work of a request in the mix of classes that clients sent, in ms on a core
     * of speed 1; 1 if there were no requests.
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

    /**
     * Returns the inferred first attempts of clients, in the order of the reports. The work of the
     * requests is unknown. Requests of a proxy without a name are left out.
     */
    List<EstimatedRequest> inferRequests() {
        Map<String, Integer> indexByName = proxyIndexByName();
        SplittableRandom random = new SplittableRandom(RANDOM_SEED);
        List<EstimatedRequest> requests = new ArrayList<>();
        for (DemandCount demand : demandCounts) {
            ReportHeader report = demand.report;
            double firstAttemptShare = 1 / expectedAttempts(windowTotals(report.demandAt()));
            Integer proxyIndex = indexByName.get(nameByProxy.getOrDefault(report.proxy(), ""));
            for (long i = 0; proxyIndex != null && i < demand.count; i++) {
                if (random.nextDouble() < firstAttemptShare) {
                    requests.add(
                            new EstimatedRequest(
                                    report.at() - report.spanMillis() * random.nextDouble(),
                                    proxyIndex,
                                    demand.requestClass,
                                    EstimatedRequest.UNKNOWN_WORK));
                }
            }
        }
        return requests;
    }

    /**
     * Returns the position of each proxy by its name. Names are ordered by length first, because
     * they end in a number without leading zeros.
     */
    private Map<String, Integer> proxyIndexByName() {
        TreeSet<String> names =
                new TreeSet<>(
                        Comparator.comparingInt(String::length)
                                .thenComparing(Comparator.naturalOrder()));
        names.addAll(nameByProxy.values());
        Map<String, Integer> indexByName = new HashMap<>();
        names.forEach(name -> indexByName.put(name, indexByName.size()));
        return indexByName;
    }

    /** Returns the expected attempts per request, given a window's share of unanswered requests. */
    private static double expectedAttempts(WindowTotals totals) {
        double unansweredShare = totals.unansweredShare();
        double attemptProbability = 1;
        double expectedAttempts = 1;
        for (int retry = 0; retry < MAX_CLIENT_RETRIES; retry++) {
            attemptProbability *= unansweredShare;
            expectedAttempts += attemptProbability;
        }
        return expectedAttempts;
    }
}
