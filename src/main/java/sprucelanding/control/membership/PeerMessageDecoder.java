package sprucelanding.control.membership;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads one message, its kind first, from a buffer as {@link PeerMessageEncoder} wrote it. Throws
 * BufferUnderflowException or IndexOutOfBoundsException where the buffer does not hold what the
 * message should.
 */
final class PeerMessageDecoder {
    private final ByteBuffer in;

    PeerMessageDecoder(ByteBuffer in) {
        this.in = in;
    }

    PeerMessage decode() throws PeerCodec.MalformedPacketException {
        return switch (MessageKind.ofCode(in.get())) {
            case HEARTBEAT -> heartbeat();
            case LEASE_REQUEST -> leaseRequest();
            case GRANT -> grant();
            case RELEASE -> new Release(in.get(), in.getLong(), claims());
            case EVIDENCE -> evidence();
        };
    }

    private Heartbeat heartbeat() {
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

    // Arguments are evaluated from left to right, so that fields are read in the wire's order.

    private LeaseRequest leaseRequest() {
        return new LeaseRequest(
                in.get(),
                in.getLong(),
                in.getLong(),
                in.getDouble(),
                new GovernorLoad(in.getInt(), in.getInt(), in.get()),
                claims());
    }

    private Grant grant() {
        return new Grant(
                in.get(),
                in.getLong(),
                in.getLong(),
                in.get(),
                in.getLong(),
                in.getDouble(),
                claims(),
                claims());
    }

    private Evidence evidence() {
        return new Evidence(in.get(), in.getLong(), in.getLong(), in.getDouble(), observations());
    }

    private List<Claim> claims() {
        int count = count();
        List<Claim> claims = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            claims.add(new Claim(in.getLong(), in.getLong()));
        }
        return claims;
    }

    private List<EvidenceExchange.EndpointObservation> observations() {
        int count = count();
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

    /** A count that a packet can hold; one below 0 or far too large is taken for a cut packet. */
    private int count() {
        int count = in.getShort();
        if (count < 0 || count > PeerCodec.MAX_PACKET_BYTES) {
            throw new BufferUnderflowException();
        }
        return count;
    }
}
