package sprucelanding.replay.estimate;

import sprucelanding.control.decision.EndpointState;

/**
 * An endpoint as the endpoint list told of it.
 *
 * @param at when a governor learned of it, in ms since the first request
 * @param endpointId id of the endpoint
 * @param zone index of its zone
 * @param type index of its type among those of the fleet
 * @param state its state from then on
 * @param startedAt when its process started, in ms since the first request; {@link #LONG_RUNNING}
 *     if that was long before
 */
public record EndpointRecord(
        double at, long endpointId, int zone, int type, EndpointState state, double startedAt) {
    /** Value of {@link #startedAt} for a process that started long before the capture. */
    public static final double LONG_RUNNING = 0;

    /** The same record in ms since an origin. */
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
