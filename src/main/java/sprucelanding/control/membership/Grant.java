package sprucelanding.control.membership;

import java.util.List;

/**
 * The answer of a voter to a {@link LeaseRequest}.
 *
 * @param voter the governor that answers
 * @param voterGeneration the voter's generation
 * @param session number of the recipient's session at this voter: a higher one than before means
 *     that what was granted before is void
 * @param recipient the governor that asked
 * @param recipientGeneration the generation that asked
 * @param requestSentAt ms on the recipient's clock at which it sent the request
 * @param granted claims that the voter granted
 * @param rejected claims that it did not grant, each with the highest epoch that the voter knows
 */
public record Grant(
        int voter,
        long voterGeneration,
        long session,
        int recipient,
        long recipientGeneration,
        double requestSentAt,
        List<Claim> granted,
        List<Claim> rejected)
        implements PeerMessage {
    @Override
    public void deliverTo(Handler handler) {
        handler.handleGrant(this);
    }
}
