package sprucelanding.control.membership;

import java.util.List;

/**
 * A request that renews the sender's session at each voter and claims the proxies for which the
 * sender lacks grants.
 *
 * @param sender the governor that sends the request
 * @param generation the sender's generation: the start time of its process in ms since 1970, or
 *     higher
 * @param sequence number that grows with each request of a generation, so that late requests are
 *     recognized
 * @param sentAt send time in ms on the sender's clock; the voter returns it with the grant
 * @param load the sender's load
 * @param claims proxies that the sender claims
 */
public record LeaseRequest(
        int sender,
        long generation,
        long sequence,
        double sentAt,
        GovernorLoad load,
        List<Claim> claims)
        implements PeerMessage {
    @Override
    public void deliverTo(Handler handler) {
        handler.handleLeaseRequest(this);
    }
}
