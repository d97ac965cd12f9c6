package sprucelanding.control.membership;

import java.util.List;

/**
 * One part of what a governor's proxies observed at the endpoints during one span of time. All
 * parts of a span carry the same sequence number.
 *
 * @param sender the governor whose proxies made the observations
 * @param generation the sender's generation
 * @param sequence number of the span; it grows with each span of a generation
 * @param spanMillis length of the span, in ms on the sender's clock
 * @param observations totals by endpoint
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
