package sprucelanding.control.membership;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * A reader of one message, starting with its kind, from a buffer that {@link PeerMessageEncoder}
 * wrote. {@link #decode} throws BufferUnderflowException or IndexOutOfBoundsException if the buffer
 * does not hold the fields of the message.
 */
final class PeerMessageDecoder {
    private final ByteBuffer in;

    PeerMessageDecoder(ByteBuffer in) {
        this.in = in;
    }

    PeerMessage decode() throws PeerCodec.MalformedPacketException {
        return switch (MessageKind.ofCode(in.get())) {
            case HEARTBEAT -> readHeartbeat();
            case LEASE_REQUEST -> readLeaseRequest();
            case GRANT -> readGrant();
            case RELEASE -> new Release(in.get(), in.getLong(), readClaims());
            case EVIDENCE -> readEvidence();
        };
    }

    private Heartbeat readHeartbeat() {
        int sender = in.get();
        int count = in.get();
        List<MemberState> view = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            view.add(
                    new MemberState(
                            in.get(),
                            in.getLong(),
                            in.getInt(),
                            in.getLong(),
                            FailureDetector.State.values()[in.get()]));
        }
        return new Heartbeat(sender, view);
    }

    // Java evaluates arguments from left to right, so the fields are read in the order of the wire.

    private LeaseRequest readLeaseRequest() {
        return new LeaseRequest(
                in.get(),
                in.getLong(),
                in.getLong(),
                in.getDouble(),
                new GovernorLoad(in.getInt(), in.getInt(), in.get()),
                readClaims());
    }

    private Grant readGrant() {
        return new Grant(
                in.get(),
                in.getLong(),
                in.getLong(),
                in.get(),
                in.getLong(),
                in.getDouble(),
                readClaims(),
                readClaims());
    }

    private Evidence readEvidence() {
        return new Evidence(
                in.get(), in.getLong(), in.getLong(), in.getDouble(), readObservations());
    }

    private List<Claim> readClaims() {
        int count = readCount();
        List<Claim> claims = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            claims.add(new Claim(in.getLong(), in.getLong()));
        }
        return claims;
    }

    private List<EvidenceExchange.EndpointObservation> readObservations() {
        int count = readCount();
        List<EvidenceExchange.EndpointObservation> observations = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            observations.add(
                    new EvidenceExchange.EndpointObservation(
                            in.getLong(),
                            Short.toUnsignedInt(in.getShort()),
                            Short.toUnsignedInt(in.getShort()),
                            in.getFloat(),
                            in.getFloat()));
        }
        return observations;
    }

    /**
     * Reads a count of elements. A count below 0 or above the packet size is reported as a
     * truncated packet.
     */
    private int readCount() {
        int count = in.getShort();
        if (count < 0 || count > PeerCodec.MAX_PACKET_BYTES) {
            throw new BufferUnderflowException();
        }
        return count;
    }
}
