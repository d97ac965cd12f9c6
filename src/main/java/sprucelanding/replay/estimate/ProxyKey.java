package sprucelanding.replay.estimate;

/**
 * A proxy as identified by one governor. Another governor may use the same number for another
 * proxy.
 *
 * @param governor index of the governor
 * @param proxyId number that the governor assigned to the proxy
 */
record ProxyKey(int governor, int proxyId) {}
