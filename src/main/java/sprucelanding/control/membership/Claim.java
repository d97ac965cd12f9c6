package sprucelanding.control.membership;

/**
 * A proxy, and the epoch under which a governor asks for it, owns it or gives it up.
 *
 * @param proxy the proxy's key, see {@link Leases#proxyKey}
 * @param epoch grows with every claim of the proxy by any governor
 */
public record Claim(long proxy, long epoch) {}
