package sprucelanding.replay.estimate;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sprucelanding.control.decision.EndpointState;
import sprucelanding.replay.capture.CaptureEvent;
import sprucelanding.replay.capture.EventType;

/**
 * An estimator of a fleet from captures. The caller passes the events of each governor, one
 * generation after another, then the ground truth if simulated clients recorded any, and then calls
 * {@link #estimate} once.
 *
 * <p>The events are distributed to {@link GovernorActivity}, {@link EndpointHistory}, {@link
 * CapturedReportAggregator} and {@link DemandEstimator}. The estimate is computed by {@link
 * PartitionDetector} and, for each endpoint, by {@link EndpointEstimator}. Not thread safe.
 */
public final class FleetEstimator {
    private final int zoneCount;
    private final GovernorActivity governorActivity = new GovernorActivity();
    private final EndpointHistory endpointHistory = new EndpointHistory();
    private final DemandEstimator demandEstimator;
    private final CapturedReportAggregator loadReports;
    private final List<EstimatedRequest> recordedRequests = new ArrayList<>();

    /**
     * Creates an estimator for one fleet.
     *
     * @param workMillisByClass mean work of a request by request class, in ms on a core of speed 1
     * @param zoneCount number of zones of the fleet
     */
    public FleetEstimator(double[] workMillisByClass, int zoneCount) {
        this.zoneCount = zoneCount;
        this.demandEstimator = new DemandEstimator(workMillisByClass);
        this.loadReports = new CapturedReportAggregator(endpointHistory, demandEstimator);
    }

    /**
     * Starts the next generation of a governor. The next events of the governor come from a new
     * process, which assigns new numbers to its proxies.
     *
     * @param governor the governor's index
     */
    public void startGeneration(int governor) {
        governorActivity.startGeneration(governor);
        loadReports.startGeneration(governor);
    }

    /**
     * Adds the next event of a governor's capture.
     *
     * @param governor the governor's index
     * @param event the event; null for a gap, which is ignored
     */
    public void onEvent(int governor, CaptureEvent event) {
        if (event == null) {
            return;
        }
        governorActivity.onEvent(governor, event.at());
        switch (event.type()) {
            case NAMED ->
                    demandEstimator.proxyNamed(
                            new ProxyKey(governor, event.intAt(1)), event.stringAt(2));
            case JOINED ->
                    loadReports.proxyJoined(new ProxyKey(governor, event.intAt(0)), event.intAt(1));
            case LISTED -> endpointHistory.add(endpointRecord(event));
            case REPORT -> loadReports.onReport(governor, event);
            case REPORT_MET -> loadReports.onEndpointStats(governor, event);
            case REPORT_CAME -> loadReports.onDemand(governor, event);
            default -> {
                // Other events are not used for the estimate.
            }
        }
    }

    private static EndpointRecord endpointRecord(CaptureEvent event) {
        return new EndpointRecord(
                event.at(),
                event.longAt(0),
                event.intAt(1),
                event.intAt(2),
                EndpointState.values()[event.intAt(5)],
                event.doubleAt(4));
    }

    /**
     * Adds an event that simulated clients recorded themselves. As soon as one of these events is a
     * request, the demand of the fleet is no longer inferred from counts.
     */
    public void addGroundTruth(CaptureEvent event) {
        if (event.type() == EventType.TXN) {
            recordedRequests.add(
                    new EstimatedRequest(
                            event.doubleAt(0), event.intAt(4), event.intAt(1), event.doubleAt(3)));
        }
    }

    /** Returns the estimated fleet. Times in the result count from the first request. */
    public EstimatedFleet estimate() {
        boolean isRecorded = !recordedRequests.isEmpty();
        double firstRequestAt = isRecorded ? firstRecordedAt() : demandEstimator.firstRequestAt();
        double lastRequestAt = isRecorded ? lastRecordedAt() : demandEstimator.lastRequestAt();
        loadReports.coverage().complete(lastRequestAt);
        List<FaultInterval> faults = new ArrayList<>(governorActivity.faults());
        List<FaultInterval> partitions =
                new PartitionDetector(
                                zoneCount,
                                loadReports.zonePairOutcomes(),
                                new WindowRuns(loadReports.coverage()))
                        .detect();
        faults.addAll(partitions);
        Map<Long, Double> capacityByEndpoint = new TreeMap<>();
        Map<Long, Double> capacityErrorByEndpoint = new TreeMap<>();
        estimateEndpoints(partitions)
                .forEach(
                        (endpointId, estimate) -> {
                            faults.addAll(estimate.faults());
                            estimate.capacity()
                                    .ifPresent(
                                            capacity -> {
                                                capacityByEndpoint.put(
                                                        endpointId, capacity.workRate());
                                                capacityErrorByEndpoint.put(
                                                        endpointId, capacity.relativeError());
                                            });
                        });
        return new EstimatedFleet(
                lastRequestAt - firstRequestAt,
                requestsSince(
                        firstRequestAt,
                        isRecorded ? recordedRequests : demandEstimator.inferRequests()),
                isRecorded,
                capacityByEndpoint,
                capacityErrorByEndpoint,
                faultsBetween(firstRequestAt, lastRequestAt, faults),
                endpointRecordsSince(firstRequestAt));
    }

    private double firstRecordedAt() {
        return recordedRequests.stream().mapToDouble(EstimatedRequest::at).min().orElse(0);
    }

    private double lastRecordedAt() {
        return recordedRequests.stream().mapToDouble(EstimatedRequest::at).max().orElse(0);
    }

    private TreeMap<Long, EndpointEstimate> estimateEndpoints(List<FaultInterval> partitions) {
        EndpointEstimator estimator =
                new EndpointEstimator(
                        loadReports.coverage(),
                        endpointHistory,
                        partitions,
                        demandEstimator.meanWorkMillis());
        TreeMap<Long, EndpointEstimate> estimates = new TreeMap<>();
        loadReports
                .windowsByEndpoint()
                .forEach(
                        (endpointId, windows) ->
                                estimates.put(endpointId, estimator.estimate(endpointId, windows)));
        return estimates;
    }

    private static List<EstimatedRequest> requestsSince(
            double origin, List<EstimatedRequest> requests) {
        List<EstimatedRequest> shifted = new ArrayList<>();
        requests.forEach(request -> shifted.add(request.since(origin)));
        shifted.sort(Comparator.comparingDouble(EstimatedRequest::at));
        return shifted;
    }

    private static List<FaultInterval> faultsBetween(
            double origin, double end, List<FaultInterval> faults) {
        List<FaultInterval> shifted = new ArrayList<>();
        for (FaultInterval fault : faults) {
            if (fault.to() > origin && fault.from() < end) {
                shifted.add(fault.since(origin));
            }
        }
        shifted.sort(Comparator.comparingDouble(FaultInterval::from));
        return shifted;
    }

    private List<EndpointRecord> endpointRecordsSince(double origin) {
        List<EndpointRecord> shifted = new ArrayList<>();
        endpointHistory.records().forEach(record -> shifted.add(record.since(origin)));
        shifted.sort(Comparator.comparingDouble(EndpointRecord::at));
        return shifted;
    }
}
