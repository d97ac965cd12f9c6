package sprucelanding.replay.estimate;

import java.util.List;
import java.util.Optional;

/**
 * The estimate of one endpoint from load reports and the endpoint list.
 *
 * @param capacity capacity of the endpoint; empty if no window was suitable for a sample
 * @param faults intervals in which the endpoint was down, slow, silent or failing
 */
record EndpointEstimate(Optional<Capacity> capacity, List<FaultInterval> faults) {
    /**
     * The capacity of an endpoint without faults.
     *
     * @param workRate work done per ms, in ms on a core of speed 1
     * @param relativeError standard error of the work rate, as a share of the work rate
     */
    record Capacity(double workRate, double relativeError) {}
}
