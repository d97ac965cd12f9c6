package sprucelanding.control.membership;

import java.util.List;

/**
 * Renews the sender's session at each voter and asks for grants of the claims that lack some.
 *
 * @param sender the governor that asks
 * @param generation the sender's generation: ms since 1970 at which its process began, or above
 * @param sequence grows with each request of a generation, so that late ones are recognized
 * @param sentAt ms on the sender's own clock; it comes back with the grant
 * @param load what the sender has
 * @param claims proxies that it asks for
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
