package sprucelanding.replay.estimate;

import java.util.List;
import java.util.Map;

/**
 * What a service was like, as far as captures tell.
 *
 * @param lasts ms from the first txn to the last
 * @param able by replica, ms of work a ms that it could do when nothing ailed it
 * @param error by replica, the relative standard error of that
 * @param whole the demand is known txn by txn; else it was inferred from counts, repeats taken out
 */
public record EstimatedFleet(
        double durationMillis,
        List<EstimatedRequest> requests,
        boolean complete,
        Map<Long, Double> capacityByEndpoint,
        Map<Long, Double> capacityErrorByEndpoint,
        List<FaultInterval> faults,
        List<EndpointRecord> endpointRecords) {
    /** The error of the fleet's whole capacity, in parts of it. */
    public double capacityError() {
        double totalCapacity =
                capacityByEndpoint.values().stream().mapToDouble(capacity -> capacity).sum();
        double squaredErrors =
                capacityByEndpoint.entrySet().stream()
                        .mapToDouble(
                                entry ->
                                        Math.pow(
                                                entry.getValue()
                                                        * capacityErrorByEndpoint.get(
                                                                entry.getKey()),
                                                2))
                        .sum();
        return totalCapacity == 0 ? 1 : Math.sqrt(squaredErrors) / totalCapacity;
    }
}
