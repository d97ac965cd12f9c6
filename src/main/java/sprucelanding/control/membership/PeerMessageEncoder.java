package sprucelanding.control.membership;

import java.nio.ByteBuffer;
import java.util.List;

/** A writer of one message, starting with its kind, to a buffer. Numbers are big-endian. */
final class PeerMessageEncoder implements PeerMessage.Handler {
    private final ByteBuffer out;

    PeerMessageEncoder(ByteBuffer out) {
        this.out = out;
    }

    @Override
    public void handleHeartbeat(Heartbeat heartbeat) {
        out.put(MessageKind.HEARTBEAT.code());
        out.put((byte) heartbeat.sender());
        out.put((byte) heartbeat.view().size());
        for (MemberState member : heartbeat.view()) {
            out.put((byte) member.id());
            out.putLong(member.generation());
            out.putInt(member.incarnation());
            out.putLong(member.heartbeatNumber());
            out.put((byte) member.state().ordinal());
        }
    }

    @Override
    public void handleLeaseRequest(LeaseRequest request) {
        out.put(MessageKind.LEASE_REQUEST.code());
        out.put((byte) request.sender());
        out.putLong(request.generation());
        out.putLong(request.sequence());
        out.putDouble(request.sentAt());
        out.putInt(request.load().streams());
        out.putInt(request.load().capacity());
        out.put((byte) request.load().zone());
        putClaims(request.claims());
    }

    @Override
    public void handleGrant(Grant grant) {
        out.put(MessageKind.GRANT.code());
        out.put((byte) grant.voter());
        out.putLong(grant.voterGeneration());
        out.putLong(grant.session());
        out.put((byte) grant.recipient());
        out.putLong(grant.recipientGeneration());
        out.putDouble(grant.requestSentAt());
        putClaims(grant.granted());
        putClaims(grant.rejected());
    }

    @Override
    public void handleRelease(Release release) {
        out.put(MessageKind.RELEASE.code());
        out.put((byte) release.sender());
        out.putLong(release.generation());
        putClaims(release.claims());
    }

    @Override
    public void handleEvidence(Evidence evidence) {
        out.put(MessageKind.EVIDENCE.code());
        out.put((byte) evidence.sender());
        out.putLong(evidence.generation());
        out.putLong(evidence.sequence());
        out.putDouble(evidence.spanMillis());
        out.putShort((short) evidence.observations().size());
        for (EvidenceExchange.EndpointObservation observation : evidence.observations()) {
            out.putLong(observation.endpoint());
            out.putShort((short) observation.attempts());
            out.putShort((short) observation.failedAttempts());
            out.putFloat((float) observation.responseMillis());
            out.putFloat((float) observation.load());
        }
    }

    private void putClaims(List<Claim> claims) {
        out.putShort((short) claims.size());
        for (Claim claim : claims) {
            out.putLong(claim.proxy());
            out.putLong(claim.epoch());
        }
    }
}
