package sprucelanding.replay.estimate;

import java.util.List;
import java.util.Map;

/**
 * What a fleet was like, as far as captures tell. Times are ms since the first request.
 *
 * @param durationMillis time from the first request to the last
 * @param requests the demand, in order of time
 * @param complete whether each request is known; else the demand was inferred from counts, with
 *     retries taken out
 * @param capacityByEndpoint by endpoint id, ms of work a ms that it could do when nothing ailed it
 * @param capacityErrorByEndpoint by endpoint id, the standard error of that as a share of it
 * @param faults what was at fault, in order of time
 * @param endpointRecords changes of the endpoint list, in order of time
 */
public record EstimatedFleet(
        double durationMillis,
        List<EstimatedRequest> requests,
        boolean complete,
        Map<Long, Double> capacityByEndpoint,
        Map<Long, Double> capacityErrorByEndpoint,
        List<FaultInterval> faults,
        List<EndpointRecord> endpointRecords) {
    private static final double UNKNOWN_CAPACITY_ERROR = 1;

    /** What all endpoints together could do, in ms of work a ms. */
    public double totalCapacity() {
        return capacityByEndpoint.values().stream().mapToDouble(capacity -> capacity).sum();
    }

    /** The standard error of the fleet's total capacity, as a share of it; 1 if none is known. */
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
        return Math.pow(capacity * capacityErrorByEndpoint.get(endpointId), 2);
    }
}
