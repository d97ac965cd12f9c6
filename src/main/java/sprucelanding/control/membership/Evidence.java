package sprucelanding.control.membership;

import java.util.List;

/**
 * One part of what a governor's proxies observed at the endpoints within a span of time. All parts
 * of a span carry the same sequence number.
 *
 * @param sender the governor that observed it
 * @param generation the sender's generation
 * @param sequence grows with each span of a generation
 * @param spanMillis length of the span, ms on the sender's clock
 * @param observations sums by endpoint
 */
public record Evidence(
        int sender,
        long generation,
        long sequence,
        double spanMillis,
        List<EvidenceExchange.EndpointObservation> observations)
        implements PeerMessage {
    @Override
    public void deliverTo(Handler handler) {
        handler.handleEvidence(this);
    }
}
