package sprucelanding.replay.estimate;

/**
 * A txn as it was first asked for: ms of the day, its proxy by position, and its work in ms, or NaN
 * if it is not known.
 */
public record EstimatedRequest(double at, int proxy, int requestClass, double workMillis) {}
