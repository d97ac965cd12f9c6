package sprucelanding.replay.estimate;

import java.util.List;
import java.util.Map;

/**
 * A fleet as estimated from captures. Times are in ms since the first request.
 *
 * @param durationMillis time from the first request to the last
 * @param requests requests of clients, in order of time
 * @param hasRecordedRequests whether simulated clients recorded each request; otherwise the
 *     requests were inferred from counts in load reports, without retries
 * @param capacityByEndpoint work that an endpoint without faults can do per ms, in ms on a core of
 *     speed 1, by endpoint id
 * @param capacityErrorByEndpoint standard error of the capacity as a share of the capacity, by
 *     endpoint id
 * @param faults faults of endpoints, zones and governors, in order of time
 * @param endpointRecords changes of the endpoint list, in order of time
 */
public record EstimatedFleet(
        double durationMillis,
        List<EstimatedRequest> requests,
        boolean hasRecordedRequests,
        Map<Long, Double> capacityByEndpoint,
        Map<Long, Double> capacityErrorByEndpoint,
        List<FaultInterval> faults,
        List<EndpointRecord> endpointRecords) {
    private static final double UNKNOWN_CAPACITY_ERROR = 1;

    /** Returns the capacity of all endpoints together, in ms of work per ms. */
    public double totalCapacity() {
        return capacityByEndpoint.values().stream().mapToDouble(capacity -> capacity).sum();
    }

    /**
     * Returns the standard error of the total capacity, as a share of the total capacity; 1 if the
     * capacity of no endpoint is known.
     */
    public double capacityError() {
        double totalCapacity = totalCapacity();
        double squaredErrors =
                capacityByEndpoint.entrySet().stream()
                        .mapToDouble(entry -> squaredError(entry.getKey(), entry.getValue()))
                        .sum();
        return totalCapacity == 0
                ? UNKNOWN_CAPACITY_ERROR
                : Math.sqrt(squaredErrors) / totalCapacity;
    }

    private double squaredError(long endpointId, double capacity) {
        return StrictMath.pow(capacity * capacityErrorByEndpoint.get(endpointId), 2);
    }
}
