package sprucelanding.replay.estimate;

import sprucelanding.control.decision.EndpointState;

/** A replica as governors were told, ms of the day; startedAt is 0 if long past. */
public record EndpointRecord(
        double at, long endpointId, int zone, int type, EndpointState state, double startedAt) {}
