package sprucelanding.control.membership;

import java.util.List;

/**
 * A voter's answer to a {@link LeaseRequest}.
 *
 * @param voter the governor that answers
 * @param voterGeneration the voter's generation
 * @param session number of the recipient's session at this voter. A higher number than before means
 *     that all earlier grants of this voter are void.
 * @param recipient the governor that sent the request
 * @param recipientGeneration the generation of the recipient that sent the request
 * @param requestSentAt time in ms on the recipient's clock at which the recipient sent the request
 * @param granted claims that the voter granted
 * @param rejected claims that the voter rejected, each with the highest epoch that the voter knows
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
