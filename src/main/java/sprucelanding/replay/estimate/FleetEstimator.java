package sprucelanding.replay.estimate;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import sprucelanding.control.decision.EndpointState;
import sprucelanding.replay.capture.CaptureEvent;

/**
 * Give it each governor's events, and what stand-ins know if there is any, then ask for the fleet.
 * Speeds follow from the utilisation law: settled txns x their mean work = share of busy cores x
 * what the replica can do. What fails in a window in which nothing is settled is an outage; what
 * fails only between zones is a cut.
 */
public final class FleetEstimator {
    private static final double WINDOW_MILLIS = 2000;
    private static final double PAUSE_THRESHOLD_MILLIS =
            800; // ms without any event after which a governor stood still
    private static final double MIN_UTILIZATION = 0.08;
    private static final double SATURATION_UTILIZATION =
            0.9; // beyond it replicas refuse on their own account
    private static final double SLOWDOWN_THRESHOLD = 1.3; // times slower than usual, to count
    private static final int MIN_SAMPLES = 8;
    private static final double FAILURE_SHARE_THRESHOLD = 0.15;
    private static final double PARTITION_FAILURE_SHARE = 0.8;
    private static final int CLIENT_RETRIES = 2;

    private static final double MIN_REPORT_COVERAGE =
            0.85; // of the time, by reports, for a window's counts to tell of speed
    private static final double MAX_REPORT_COVERAGE = 1.2;
    private static final double SAME_START_MILLIS = 500; // ms between starts that are one
    private static final int MAX_PARTITION_TAIL_WINDOWS =
            10; // windows after which a cut is over, whatever reports say

    /** What was met at a replica within a window. */
    private static final class EndpointWindow {
        long completed;
        long failed;
        double totalLoad;
        long loadSamples;

        double utilization() {
            return loadSamples == 0 ? 0 : Math.min(1, totalLoad / loadSamples);
        }
    }

    private record ZonePairWindow(int fromZone, int toZone, int window) {}

    private record Reporter(int governor, int proxyId) {}

    private static final class GovernorTimeline {
        double lastEventAt = Double.NaN;
        CaptureEvent lastReport;

        /** Of its present life something was heard. */
        boolean heardInThisIncarnation;
    }

    private record DemandCount(
            Reporter reporter, double at, double spanMillis, int requestClass, long count) {}

    private final double[] workMillisByClass;
    private final int zoneCount;
    private final Map<Integer, GovernorTimeline> timelinesByGovernor = new TreeMap<>();
    private final Map<Long, TreeMap<Integer, EndpointWindow>> met = new TreeMap<>();
    private final Map<ZonePairWindow, long[]> outcomesByZonePair = new HashMap<>();
    private final Map<Reporter, Integer> zoneByReporter = new HashMap<>();
    private final Map<Reporter, String> nameByReporter = new HashMap<>();
    private final Map<Long, Integer> zoneByEndpoint = new HashMap<>();
    private final List<DemandCount> demandCounts = new ArrayList<>();
    private final List<EstimatedRequest> truth = new ArrayList<>();
    private final List<EndpointRecord> told = new ArrayList<>();
    private final Map<Long, EndpointRecord> lastRecordByEndpoint = new HashMap<>();
    private final List<FaultInterval> faults = new ArrayList<>();
    private final long[] demandByClass;
    private final Map<Integer, long[]> completedAndDemandByWindow = new TreeMap<>();

    /** By window, ms that reports cover, of all proxies together. */
    private final Map<Integer, Double> coveredMillisByWindow = new HashMap<>();

    private double medianCoveredMillis;
    private double firstRequestAt = Double.POSITIVE_INFINITY;
    private double lastRequestAt = Double.NEGATIVE_INFINITY;

    /**
     * @param works mean ms of work by product, on a core of speed 1
     */
    public FleetEstimator(double[] workMillisByClass, int zoneCount) {
        this.workMillisByClass = workMillisByClass.clone();
        this.zoneCount = zoneCount;
        this.demandByClass = new long[workMillisByClass.length];
    }

    /**
     * A governor that ran before under this number, and died, runs anew: its numbers of proxies are
     * new as well.
     */
    public void startIncarnation(int governor) {
        GovernorTimeline timeline =
                timelinesByGovernor.computeIfAbsent(governor, key -> new GovernorTimeline());
        timeline.heardInThisIncarnation = false;
        zoneByReporter.keySet().removeIf(reporter -> reporter.governor == governor);
    }

    /** The next event of a governor's capture; null for a gap, of which nothing is known. */
    public void onEvent(int governor, CaptureEvent event) {
        if (event == null) {
            return;
        }
        GovernorTimeline timeline =
                timelinesByGovernor.computeIfAbsent(governor, key -> new GovernorTimeline());
        if (event.at() - timeline.lastEventAt > PAUSE_THRESHOLD_MILLIS) {
            faults.add(
                    new FaultInterval(
                            !timeline.heardInThisIncarnation
                                    ? FaultInterval.FaultType.GOVERNOR_DEAD
                                    : FaultInterval.FaultType.GOVERNOR_PAUSED,
                            governor,
                            timeline.lastEventAt,
                            event.at(),
                            1));
        }
        timeline.heardInThisIncarnation = true;
        timeline.lastEventAt =
                Double.isNaN(timeline.lastEventAt)
                        ? event.at()
                        : Math.max(timeline.lastEventAt, event.at());
        switch (event.type()) {
            case NAMED ->
                    nameByReporter.put(new Reporter(governor, event.intAt(1)), event.stringAt(2));
            case JOINED ->
                    zoneByReporter.put(new Reporter(governor, event.intAt(0)), event.intAt(1));
            case LISTED -> {
                zoneByEndpoint.put(event.longAt(0), event.intAt(1));
                EndpointRecord current =
                        new EndpointRecord(
                                event.at(),
                                event.longAt(0),
                                event.intAt(1),
                                event.intAt(2),
                                EndpointState.values()[event.intAt(5)],
                                event.doubleAt(4));
                EndpointRecord previous = lastRecordByEndpoint.put(current.endpointId(), current);
                if (previous == null
                        || previous.state() != current.state()
                        || Math.abs(previous.startedAt() - current.startedAt()) > 1) {
                    told.add(current); // by whichever governor first
                }
            }
            case REPORT -> {
                timeline.lastReport = event;
                addCoverage(event.at() - event.doubleAt(2), event.at());
            }
            case REPORT_MET -> met(governor, timeline, event);
            case REPORT_CAME -> addDemand(governor, timeline, event);
            default -> {}
        }
    }

    private void addCoverage(double from, double to) {
        for (int windowIndex = windowOf(from); windowIndex <= windowOf(to); windowIndex++) {
            coveredMillisByWindow.merge(
                    windowIndex,
                    Math.max(
                            0,
                            Math.min(to, (windowIndex + 1) * WINDOW_MILLIS)
                                    - Math.max(from, windowIndex * WINDOW_MILLIS)),
                    Double::sum);
        }
    }

    /**
     * Whether reports of a window tell of about all that there was: a governor that stands still
     * hears of nothing.
     */
    private boolean told(int window) {
        double coveredMillis = coveredMillisByWindow.getOrDefault(window, 0.0);
        return coveredMillis >= MIN_REPORT_COVERAGE * medianCoveredMillis
                && coveredMillis <= MAX_REPORT_COVERAGE * medianCoveredMillis
                && (window + 1) * WINDOW_MILLIS <= lastRequestAt;
    }

    private int windowOf(double at) {
        return (int) Math.floor(at / WINDOW_MILLIS);
    }

    private void met(int governor, GovernorTimeline timeline, CaptureEvent event) {
        if (timeline.lastReport == null) {
            return;
        }
        double at =
                timeline.lastReport.at()
                        - Math.min(timeline.lastReport.doubleAt(2), 2 * WINDOW_MILLIS) / 2;
        long endpointId = event.longAt(0);
        EndpointWindow endpointWindow =
                met.computeIfAbsent(endpointId, key -> new TreeMap<>())
                        .computeIfAbsent(windowOf(at), key -> new EndpointWindow());
        endpointWindow.completed += event.longAt(2);
        endpointWindow.failed += event.longAt(3);
        endpointWindow.totalLoad += event.doubleAt(5);
        endpointWindow.loadSamples += event.longAt(6);
        Integer fromZone = zoneByReporter.get(new Reporter(governor, timeline.lastReport.intAt(1)));
        Integer toZone = zoneByEndpoint.get(endpointId);
        if (fromZone != null && toZone != null) {
            long[] outcomes =
                    outcomesByZonePair.computeIfAbsent(
                            new ZonePairWindow(fromZone, toZone, windowOf(at)), key -> new long[2]);
            outcomes[0] += event.longAt(2);
            outcomes[1] += event.longAt(3);
        }
        completedAndDemandByWindow.computeIfAbsent(windowOf(at), key -> new long[2])[0] +=
                event.longAt(2);
    }

    private void addDemand(int governor, GovernorTimeline timeline, CaptureEvent event) {
        if (timeline.lastReport != null
                && event.longAt(1) > 0
                && event.intAt(0) < workMillisByClass.length) {
            demandCounts.add(
                    new DemandCount(
                            new Reporter(governor, timeline.lastReport.intAt(1)),
                            timeline.lastReport.at(),
                            timeline.lastReport.doubleAt(2),
                            event.intAt(0),
                            event.longAt(1)));
            demandByClass[event.intAt(0)] += event.longAt(1);
            completedAndDemandByWindow
                            .computeIfAbsent(
                                    windowOf(
                                            timeline.lastReport.at()
                                                    - timeline.lastReport.doubleAt(2) / 2),
                                    key -> new long[2])[1] +=
                    event.longAt(1);
            firstRequestAt =
                    Math.min(
                            firstRequestAt,
                            timeline.lastReport.at() - timeline.lastReport.doubleAt(2));
            lastRequestAt = Math.max(lastRequestAt, timeline.lastReport.at());
        }
    }

    /** What stand-ins know of one txn. */
    public void truth(CaptureEvent event) {
        if (event.type() == sprucelanding.replay.capture.EventType.TXN) {
            truth.add(
                    new EstimatedRequest(
                            event.doubleAt(0), event.intAt(4), event.intAt(1), event.doubleAt(3)));
        }
    }

    /** Mean work of what was settled, as the mix of what came has it. */
    private double meanWorkMillis() {
        double totalWork = 0;
        long requests = 0;
        for (int classIndex = 0; classIndex < workMillisByClass.length; classIndex++) {
            totalWork += demandByClass[classIndex] * workMillisByClass[classIndex];
            requests += demandByClass[classIndex];
        }
        return requests == 0 ? 1 : totalWork / requests;
    }

    /** What the fleet was like. */
    public EstimatedFleet estimate() {
        boolean complete = !truth.isEmpty();
        if (complete) {
            firstRequestAt = truth.stream().mapToDouble(EstimatedRequest::at).min().orElse(0);
            lastRequestAt = truth.stream().mapToDouble(EstimatedRequest::at).max().orElse(0);
        }
        double[] sortedCoverage =
                coveredMillisByWindow.values().stream().mapToDouble(key -> key).sorted().toArray();
        medianCoveredMillis =
                sortedCoverage.length == 0 ? 0 : sortedCoverage[sortedCoverage.length / 2];
        findPartitions();
        double meanWorkMillis = meanWorkMillis();
        Map<Long, Double> capacityByEndpoint = new TreeMap<>();
        Map<Long, Double> capacityErrorByEndpoint = new TreeMap<>();
        met.forEach(
                (replica, windows) ->
                        estimateEndpoint(
                                replica,
                                windows,
                                meanWorkMillis,
                                capacityByEndpoint,
                                capacityErrorByEndpoint));
        double origin = firstRequestAt;
        List<EstimatedRequest> requests = new ArrayList<>();
        (complete ? truth : inferRequests())
                .forEach(
                        request ->
                                requests.add(
                                        new EstimatedRequest(
                                                request.at() - origin,
                                                request.proxy(),
                                                request.requestClass(),
                                                request.workMillis())));
        requests.sort(Comparator.comparingDouble(EstimatedRequest::at));
        List<FaultInterval> faultsOfScenario = new ArrayList<>();
        faults.forEach(
                fault -> {
                    if (fault.to() > origin && fault.from() < lastRequestAt) {
                        faultsOfScenario.add(
                                new FaultInterval(
                                        fault.type(),
                                        fault.subject(),
                                        fault.from() - origin,
                                        fault.to() - origin,
                                        fault.severity()));
                    }
                });
        faultsOfScenario.sort(Comparator.comparingDouble(FaultInterval::from));
        List<EndpointRecord> records = new ArrayList<>();
        told.forEach(
                record ->
                        records.add(
                                new EndpointRecord(
                                        record.at() - origin,
                                        record.endpointId(),
                                        record.zone(),
                                        record.type(),
                                        record.state(),
                                        record.startedAt() == 0
                                                ? 0
                                                : record.startedAt() - origin)));
        records.sort(Comparator.comparingDouble(EndpointRecord::at));
        return new EstimatedFleet(
                lastRequestAt - firstRequestAt,
                requests,
                complete,
                capacityByEndpoint,
                capacityErrorByEndpoint,
                faultsOfScenario,
                records);
    }

    /**
     * First asks from counts: what was asked again after no answer is taken out, for it will arise
     * anew.
     */
    private List<EstimatedRequest> inferRequests() {
        TreeSet<String> names =
                new TreeSet<>(
                        Comparator.comparingInt(String::length)
                                .thenComparing(Comparator.naturalOrder()));
        names.addAll(nameByReporter.values());
        Map<String, Integer> positionByName = new HashMap<>();
        names.forEach(name -> positionByName.put(name, positionByName.size()));
        SplittableRandom random = new SplittableRandom(1);
        List<EstimatedRequest> requests = new ArrayList<>();
        for (DemandCount demand : demandCounts) {
            long[] completedAndDemand =
                    completedAndDemandByWindow.get(windowOf(demand.at - demand.spanMillis / 2));
            double unansweredShare =
                    completedAndDemand == null || completedAndDemand[1] == 0
                            ? 0
                            : Math.max(
                                    0, 1 - (double) completedAndDemand[0] / completedAndDemand[1]);
            double attemptProbability = 1;
            double expectedAttempts = 1;
            for (int retry = 0; retry < CLIENT_RETRIES; retry++) {
                attemptProbability *= unansweredShare;
                expectedAttempts += attemptProbability;
            }
            Integer proxy = positionByName.get(nameByReporter.getOrDefault(demand.reporter, ""));
            for (long i = 0; proxy != null && i < demand.count; i++) {
                if (random.nextDouble() < 1 / expectedAttempts) {
                    requests.add(
                            new EstimatedRequest(
                                    demand.at - demand.spanMillis * random.nextDouble(),
                                    proxy,
                                    demand.requestClass,
                                    Double.NaN));
                }
            }
        }
        return requests;
    }

    private void findPartitions() {
        Map<Integer, List<Integer>> windowsByZone = new TreeMap<>();
        TreeSet<Integer> windows = new TreeSet<>();
        outcomesByZonePair.keySet().forEach(pair -> windows.add(pair.window));
        for (int window : windows) {
            for (int zone = 0; zone < zoneCount; zone++) {
                long completed = 0;
                long failed = 0;
                long completedWithinZone = 0;
                for (int otherZone = 0; otherZone < zoneCount; otherZone++) {
                    long[] outbound =
                            outcomesByZonePair.getOrDefault(
                                    new ZonePairWindow(zone, otherZone, window), new long[2]);
                    long[] inbound =
                            outcomesByZonePair.getOrDefault(
                                    new ZonePairWindow(otherZone, zone, window), new long[2]);
                    if (otherZone == zone) {
                        completedWithinZone = outbound[0];
                    } else {
                        completed += outbound[0] + inbound[0];
                        failed += outbound[1] + inbound[1];
                    }
                }
                if (completedWithinZone > 0
                        && failed >= MIN_SAMPLES
                        && failed > PARTITION_FAILURE_SHARE * (completed + failed)) {
                    windowsByZone.computeIfAbsent(zone, key -> new ArrayList<>()).add(window);
                }
            }
        }
        windowsByZone.forEach(
                (zone, zoneWindows) ->
                        forEachRun(
                                zoneWindows,
                                (from, to) ->
                                        faults.add(
                                                new FaultInterval(
                                                        FaultInterval.FaultType.CUT,
                                                        zone,
                                                        (from - 0.5) * WINDOW_MILLIS,
                                                        partitionEndWindow(zone, to)
                                                                * WINDOW_MILLIS,
                                                        1))));
    }

    /**
     * The window in which a zone and others answered each other again: failures stop before, for
     * nobody tries.
     */
    private int partitionEndWindow(int zone, int lastWindow) {
        for (int window = lastWindow + 1;
                window < lastWindow + MAX_PARTITION_TAIL_WINDOWS;
                window++) {
            long completed = 0;
            for (int otherZone = 0; otherZone < zoneCount; otherZone++) {
                if (otherZone != zone) {
                    completed +=
                            outcomesByZonePair
                                            .getOrDefault(
                                                    new ZonePairWindow(zone, otherZone, window),
                                                    new long[2])[0]
                                    + outcomesByZonePair
                                            .getOrDefault(
                                                    new ZonePairWindow(otherZone, zone, window),
                                                    new long[2])[0];
                }
            }
            if (completed >= MIN_SAMPLES) {
                return window;
            }
        }
        return lastWindow + 1;
    }

    private interface WindowRun {
        void accept(int from, int to);
    }

    /** Windows in a row: one may be missing between them, and any of which reports do not tell. */
    private void forEachRun(List<Integer> windows, WindowRun consumer) {
        int from = 0;
        for (int i = 1; i <= windows.size(); i++) {
            if (i == windows.size() || areSeparate(windows.get(i - 1), windows.get(i))) {
                consumer.accept(windows.get(from), windows.get(i - 1));
                from = i;
            }
        }
    }

    private boolean areSeparate(int earlier, int later) {
        boolean wellReported = false;
        for (int window = earlier + 1; window < later; window++) {
            wellReported |= told(window);
        }
        return wellReported && later > earlier + 2;
    }

    private void estimateEndpoint(
            long endpointId,
            TreeMap<Integer, EndpointWindow> windows,
            double meanWorkMillis,
            Map<Long, Double> capacityByEndpoint,
            Map<Long, Double> capacityErrorByEndpoint) {
        List<double[]> samples = new ArrayList<>(); // window, able, settled
        List<Integer> silentWindows = new ArrayList<>();
        List<Integer> failingWindows = new ArrayList<>();
        double[][] outages = findOutages(endpointId, windows);
        for (double[] outage : outages) {
            faults.add(
                    new FaultInterval(
                            FaultInterval.FaultType.DOWN, endpointId, outage[0], outage[1], 1));
        }
        windows.forEach(
                (window, endpointWindow) -> {
                    if (isNearOutage(outages, window)) {
                        return;
                    }
                    boolean isFailing =
                            endpointWindow.utilization() < SATURATION_UTILIZATION
                                    && endpointWindow.failed >= MIN_SAMPLES
                                    && endpointWindow.failed
                                            > FAILURE_SHARE_THRESHOLD
                                                    * (endpointWindow.failed
                                                            + endpointWindow.completed);
                    if (endpointWindow.completed >= MIN_SAMPLES
                            && endpointWindow.utilization() >= MIN_UTILIZATION
                            && told(window)
                            && !isFailing) {
                        samples.add(
                                new double[] {
                                    window,
                                    endpointWindow.completed
                                            * meanWorkMillis
                                            / (WINDOW_MILLIS * endpointWindow.utilization()),
                                    endpointWindow.completed
                                });
                    }
                    if (endpointWindow.completed == 0
                            && endpointWindow.failed > 0
                            && told(window)) {
                        silentWindows.add(window);
                    } else if (isFailing && !isPartitioned(window)) {
                        failingWindows.add(window);
                    }
                });
        if (samples.isEmpty()) {
            return;
        }
        double[] values = samples.stream().mapToDouble(sample -> sample[1]).sorted().toArray();
        double typicalCapacity = values[values.length * 3 / 5]; // what ails it only ever takes away
        double completed = 0;
        double busyMillis = 0;
        for (double[] sample : samples) {
            if (sample[1] * SLOWDOWN_THRESHOLD
                    >= typicalCapacity) { // sums of many windows, for each alone errs upwards as
                // often as
                // downwards
                completed += sample[2];
                busyMillis += sample[2] / sample[1];
            }
        }
        double baselineCapacity = completed / busyMillis;
        double sampleCount = completed;
        capacityByEndpoint.put(endpointId, baselineCapacity);
        capacityErrorByEndpoint.put(
                endpointId,
                Math.sqrt(2 / sampleCount)
                        + meanRelativeDeviation(values, baselineCapacity)
                                / Math.sqrt(values.length));
        List<Integer> slowWindows = new ArrayList<>();
        Map<Integer, Double> slowdownByWindow = new HashMap<>();
        for (double[] sample : samples) {
            double noise = 3 / Math.sqrt(sample[2]);
            if (baselineCapacity / sample[1] > Math.max(SLOWDOWN_THRESHOLD, 1 + noise)) {
                slowWindows.add((int) sample[0]);
                slowdownByWindow.put((int) sample[0], baselineCapacity / sample[1]);
            }
        }
        forEachRun(
                slowWindows,
                (from, to) -> {
                    double sum = 0;
                    int count = 0;
                    for (int window = from; window <= to; window++) {
                        sum += slowdownByWindow.getOrDefault(window, 0.0);
                        count += slowdownByWindow.containsKey(window) ? 1 : 0;
                    }
                    if (!isWarmingUp(endpointId, from * WINDOW_MILLIS)) {
                        faults.add(
                                new FaultInterval(
                                        FaultInterval.FaultType.SLOWER,
                                        endpointId,
                                        from * WINDOW_MILLIS,
                                        (to + 1) * WINDOW_MILLIS,
                                        sum / count));
                    }
                });
        findSilences(endpointId, silentWindows);
        forEachRun(
                failingWindows,
                (from, to) -> {
                    long failed = 0;
                    long attempts = 0;
                    for (EndpointWindow endpointWindow :
                            windows.subMap(from, true, to, true).values()) {
                        failed += endpointWindow.failed;
                        attempts += endpointWindow.failed + endpointWindow.completed;
                    }
                    faults.add(
                            new FaultInterval(
                                    FaultInterval.FaultType.FAILS,
                                    endpointId,
                                    from * WINDOW_MILLIS,
                                    (to + 1) * WINDOW_MILLIS,
                                    (double) failed / attempts));
                });
    }

    /**
     * Whether some zone was cut off: then any replica may have failed for those on the other side.
     */
    private boolean isPartitioned(int window) {
        return faults.stream()
                .anyMatch(
                        fault ->
                                fault.type() == FaultInterval.FaultType.CUT
                                        && fault.from() < (window + 1) * WINDOW_MILLIS
                                        && fault.to() > window * WINDOW_MILLIS);
    }

    /** It began so short a time before that it was still cold. */
    private boolean isWarmingUp(long endpointId, double at) {
        return told.stream()
                .anyMatch(
                        record ->
                                record.endpointId() == endpointId
                                        && record.startedAt() > 0
                                        && record.startedAt() <= at + WINDOW_MILLIS
                                        && at - record.startedAt() < 8 * WINDOW_MILLIS);
    }

    /**
     * When its process was not there: the list tells when it began, and it fell silent when tries
     * last ended well.
     */
    private double[][] findOutages(long endpointId, TreeMap<Integer, EndpointWindow> windows) {
        List<double[]> outages = new ArrayList<>();
        double[] startTimes =
                told.stream()
                        .filter(
                                record ->
                                        record.endpointId() == endpointId && record.startedAt() > 0)
                        .mapToDouble(EndpointRecord::startedAt)
                        .sorted()
                        .toArray();
        double previousStart = Double.NEGATIVE_INFINITY;
        for (double start : startTimes) {
            if (start - previousStart > SAME_START_MILLIS) {
                int lastCompletedWindow = Integer.MIN_VALUE;
                for (Map.Entry<Integer, EndpointWindow> entry :
                        windows.headMap(windowOf(start), false).entrySet()) {
                    lastCompletedWindow =
                            entry.getValue().completed > 0 ? entry.getKey() : lastCompletedWindow;
                }
                double from =
                        lastCompletedWindow == Integer.MIN_VALUE
                                ? start - WINDOW_MILLIS
                                : (lastCompletedWindow + 0.5) * WINDOW_MILLIS;
                outages.add(new double[] {Math.min(from, start - 1), start});
            }
            previousStart = start;
        }
        return outages.toArray(new double[0][]);
    }

    /** Whether a window is at the edge of an outage, or in it. */
    private boolean isNearOutage(double[][] outages, int windowIndex) {
        for (double[] outage : outages) {
            if (windowIndex >= windowOf(outage[0]) - 1 && windowIndex <= windowOf(outage[1])) {
                return true;
            }
        }
        return false;
    }

    private void findSilences(long endpointId, List<Integer> silentWindows) {
        forEachRun(
                silentWindows,
                (from, to) -> {
                    double silentFrom = from * WINDOW_MILLIS;
                    boolean leftTheList =
                            told.stream()
                                    .anyMatch(
                                            record ->
                                                    record.endpointId() == endpointId
                                                            && record.state()
                                                                    != EndpointState.AVAILABLE
                                                            && Math.abs(record.at() - silentFrom)
                                                                    < 4 * WINDOW_MILLIS);
                    if (!leftTheList && !isPartitioned(from)) {
                        faults.add(
                                new FaultInterval(
                                        FaultInterval.FaultType.SILENT,
                                        endpointId,
                                        silentFrom,
                                        (to + 1) * WINDOW_MILLIS,
                                        1));
                    }
                });
    }

    private static double meanRelativeDeviation(double[] values, double center) {
        double sum = 0;
        for (double value : values) {
            sum += Math.abs(value - center) / center;
        }
        return values.length == 0 ? 1 : sum / values.length;
    }
}
