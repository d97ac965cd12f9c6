package sprucelanding.replay.estimate;

/** A proxy as one governor numbers it; another governor may give the number to another proxy. */
record Reporter(int governor, int proxyId) {}
