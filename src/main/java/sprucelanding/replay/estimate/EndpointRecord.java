package sprucelanding.replay.estimate;

import sprucelanding.control.decision.EndpointState;

/**
 * A change of an endpoint in the endpoint list. Times are in ms since the first request in an
 * {@link EstimatedFleet}, and in ms on the governors' clock during the estimation.
 *
 * @param at time at which a governor received the change
 * @param endpointId id of the endpoint
 * @param zone index of the endpoint's zone
 * @param type index of the endpoint's machine kind
 * @param state state of the endpoint after the change
 * @param startedAt start time of the endpoint's process; {@link #LONG_RUNNING} if the process
 *     started long before
 */
public record EndpointRecord(
        double at, long endpointId, int zone, int type, EndpointState state, double startedAt) {
    /** Value of {@link #startedAt} for a process that started long before the capture. */
    public static final double LONG_RUNNING = 0;

    /** Returns the same record with its times counted from an origin, in ms. */
    EndpointRecord since(double origin) {
        return new EndpointRecord(
                at - origin,
                endpointId,
                zone,
                type,
                state,
                startedAt == LONG_RUNNING ? LONG_RUNNING : startedAt - origin);
    }
}
