package sprucelanding.replay.estimate;

import java.util.List;
import java.util.Optional;

/**
 * What reports tell of one endpoint.
 *
 * @param capacity its capacity; empty if no window tells of it
 * @param faults intervals in which it was down, slow, silent or failing
 */
record EndpointEstimate(Optional<Capacity> capacity, List<FaultInterval> faults) {
    /**
     * What an endpoint can do when nothing ails it.
     *
     * @param workRate ms of work that it does in a ms, on cores of speed 1
     * @param relativeError standard error of that, as a share of it
     */
    record Capacity(double workRate, double relativeError) {}
}
