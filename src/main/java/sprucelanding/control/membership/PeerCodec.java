package sprucelanding.control.membership;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * What governors tell each other, as datagrams of at most 1,400 bytes: version, kind, content, and
 * a sum by a key that all share (HMAC-SHA-256, RFC 2104, cut to 16 bytes). Big-endian. What is
 * forged, cut off, too long or of another version is refused whole.
 */
public final class PeerCodec {
    /** What cannot be taken, and why. */
    public static final class MalformedPacketException extends Exception {
        private static final long serialVersionUID = 1;

        MalformedPacketException(String reason) {
            super(reason);
        }
    }

    public static final int MAX_PACKET_BYTES = 1400;
    private static final byte VERSION = 2;
    private static final int MAC_BYTES = 16;
    private static final String MAC_ALGORITHM = "HmacSHA256";
    private static final byte HEARTBEAT = 0;
    private static final byte LEASE_REQUEST = 1;
    private static final byte GRANT = 2;
    private static final byte RELEASE = 3;
    private static final byte EVIDENCE = 4;

    private final List<Mac> macs = new ArrayList<>();

    /**
     * @param keys shared by all governors, 16 bytes each at least: the first signs, all are
     *     accepted
     */
    public PeerCodec(List<byte[]> keys) {
        for (byte[] key : keys) {
            if (key.length < MAC_BYTES) {
                throw new IllegalArgumentException(
                        "a key of " + key.length + " bytes; expected " + MAC_BYTES + " at least");
            }
            try {
                Mac mac = Mac.getInstance(MAC_ALGORITHM);
                mac.init(new SecretKeySpec(key, MAC_ALGORITHM));
                macs.add(mac);
            } catch (GeneralSecurityException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /**
     * A Beat, Ask, Grant, Release or Said as a datagram; IllegalArgumentException if it does not
     * fit into one.
     */
    public byte[] encode(Object message) {
        ByteBuffer out = ByteBuffer.allocate(64 * 1024).put(VERSION);
        if (message instanceof FailureDetector.Heartbeat heartbeat) {
            out.put(HEARTBEAT).put((byte) heartbeat.sender()).put((byte) heartbeat.view().size());
            heartbeat
                    .view()
                    .forEach(
                            memberState ->
                                    out.put((byte) memberState.id())
                                            .putLong(memberState.generation())
                                            .putInt(memberState.incarnation())
                                            .putLong(memberState.heartbeatNumber())
                                            .put((byte) memberState.state().ordinal()));
        } else if (message instanceof Leases.LeaseRequest request) {
            out.put(LEASE_REQUEST)
                    .put((byte) request.sender())
                    .putLong(request.generation())
                    .putLong(request.sequence())
                    .putDouble(request.sentAt())
                    .putInt(request.load().streams())
                    .putInt(request.load().capacity())
                    .put((byte) request.load().zone());
            claims(out, request.claims());
        } else if (message instanceof Leases.Grant grant) {
            out.put(GRANT)
                    .put((byte) grant.voter())
                    .putLong(grant.voterGeneration())
                    .putLong(grant.session())
                    .put((byte) grant.recipient())
                    .putLong(grant.recipientGeneration())
                    .putDouble(grant.requestSentAt());
            claims(out, grant.granted());
            claims(out, grant.rejected());
        } else if (message instanceof Leases.Release release) {
            claims(
                    out.put(RELEASE).put((byte) release.sender()).putLong(release.generation()),
                    release.claims());
        } else if (message instanceof EvidenceExchange.Evidence evidence) {
            out.put(EVIDENCE)
                    .put((byte) evidence.sender())
                    .putLong(evidence.generation())
                    .putLong(evidence.sequence())
                    .putDouble(evidence.spanMillis())
                    .putShort((short) evidence.observations().size());
            evidence.observations()
                    .forEach(
                            observation ->
                                    out.putLong(observation.endpoint())
                                            .putShort((short) observation.attempts())
                                            .putShort((short) observation.failedAttempts())
                                            .putFloat((float) observation.responseMillis())
                                            .putFloat((float) observation.load()));
        } else {
            throw new IllegalArgumentException("no message: " + message);
        }
        byte[] content = Arrays.copyOf(out.array(), out.position());
        if (content.length + MAC_BYTES > MAX_PACKET_BYTES) {
            throw new IllegalArgumentException("a message of " + content.length + " bytes");
        }
        byte[] packet = Arrays.copyOf(content, content.length + MAC_BYTES);
        System.arraycopy(macs.get(0).doFinal(content), 0, packet, content.length, MAC_BYTES);
        return packet;
    }

    private static void claims(ByteBuffer out, List<Leases.Claim> claims) {
        out.putShort((short) claims.size());
        claims.forEach(claim -> out.putLong(claim.proxy()).putLong(claim.epoch()));
    }

    /** What a datagram says. */
    public Object decode(byte[] packet) throws MalformedPacketException {
        if (packet.length > MAX_PACKET_BYTES || packet.length < 2 + MAC_BYTES) {
            throw new MalformedPacketException("a packet of " + packet.length + " bytes");
        }
        byte[] content = Arrays.copyOf(packet, packet.length - MAC_BYTES);
        byte[] receivedMac = Arrays.copyOfRange(packet, content.length, packet.length);
        if (macs.stream()
                .noneMatch(
                        mac ->
                                MessageDigest.isEqual(
                                        receivedMac,
                                        Arrays.copyOf(mac.doFinal(content), MAC_BYTES)))) {
            throw new MalformedPacketException("its sum is wrong: cut off, or by another key");
        }
        ByteBuffer in = ByteBuffer.wrap(content);
        byte version = in.get();
        if (version != VERSION) {
            throw new MalformedPacketException(
                    "version " + version + "; this program speaks " + VERSION);
        }
        try {
            Object message =
                    switch (in.get()) {
                        case HEARTBEAT -> readHeartbeat(in);
                        case LEASE_REQUEST ->
                                new Leases.LeaseRequest(
                                        in.get(),
                                        in.getLong(),
                                        in.getLong(),
                                        in.getDouble(),
                                        new Leases.GovernorLoad(in.getInt(), in.getInt(), in.get()),
                                        claims(in));
                        case GRANT ->
                                new Leases.Grant(
                                        in.get(),
                                        in.getLong(),
                                        in.getLong(),
                                        in.get(),
                                        in.getLong(),
                                        in.getDouble(),
                                        claims(in),
                                        claims(in));
                        case RELEASE -> new Leases.Release(in.get(), in.getLong(), claims(in));
                        case EVIDENCE ->
                                new EvidenceExchange.Evidence(
                                        in.get(),
                                        in.getLong(),
                                        in.getLong(),
                                        in.getDouble(),
                                        readObservations(in));
                        default -> throw new MalformedPacketException("an unknown kind");
                    };
            if (in.hasRemaining()) {
                throw new MalformedPacketException(in.remaining() + " bytes too many");
            }
            return message;
        } catch (BufferUnderflowException | IndexOutOfBoundsException e) {
            throw new MalformedPacketException("it ends too early");
        }
    }

    private static FailureDetector.Heartbeat readHeartbeat(ByteBuffer in) {
        int sender = in.get();
        int count = in.get();
        List<FailureDetector.MemberState> view = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            view.add(
                    new FailureDetector.MemberState(
                            in.get(),
                            in.getLong(),
                            in.getInt(),
                            in.getLong(),
                            FailureDetector.State.values()[in.get()]));
        }
        return new FailureDetector.Heartbeat(sender, view);
    }

    private static List<Leases.Claim> claims(ByteBuffer in) {
        int count = readCount(in);
        List<Leases.Claim> claims = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            claims.add(new Leases.Claim(in.getLong(), in.getLong()));
        }
        return claims;
    }

    private static List<EvidenceExchange.EndpointObservation> readObservations(ByteBuffer in) {
        int count = readCount(in);
        List<EvidenceExchange.EndpointObservation> observations = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            observations.add(
                    new EvidenceExchange.EndpointObservation(
                            in.getLong(),
                            in.getShort() & 0xFFFF,
                            in.getShort() & 0xFFFF,
                            in.getFloat(),
                            in.getFloat()));
        }
        return observations;
    }

    /**
     * A count that the rest can hold; one below 0 or far too many is an end that came too early.
     */
    private static int readCount(ByteBuffer in) {
        int count = in.getShort();
        if (count < 0 || count > MAX_PACKET_BYTES) {
            throw new BufferUnderflowException();
        }
        return count;
    }
}
