package sprucelanding.control.membership;

/**
 * A proxy with the epoch under which a governor requests, owns or releases it.
 *
 * @param proxy the proxy's key, see {@link Leases#proxyKey}
 * @param epoch a number that grows with every claim of the proxy by any governor
 */
public record Claim(long proxy, long epoch) {}
