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
 * Messages between governors as datagrams of at most 1,400 bytes: version, kind, content, and a
 * message authentication code by a key that all governors share (HMAC-SHA-256, RFC 2104, truncated
 * to 16 bytes). Numbers are big-endian. A packet that is forged, cut off, too long or of another
 * version is rejected as a whole. To be used on one thread.
 */
public final class PeerCodec {
    /** A packet that holds no message; the message of the exception says why. */
    public static final class MalformedPacketException extends Exception {
        private static final long serialVersionUID = 1;

        MalformedPacketException(String reason) {
            super(reason);
        }
    }

    /** The largest datagram, its authentication code included. */
    public static final int MAX_PACKET_BYTES = 1400;

    private static final byte VERSION = 2;
    private static final int HEADER_BYTES = 2; // version and kind
    private static final int MAC_BYTES = 16;
    private static final String MAC_ALGORITHM = "HmacSHA256";
    private static final int BUFFER_BYTES = 64 * 1024;

    private final List<Mac> macs = new ArrayList<>();

    /**
     * A codec that signs with the first key and accepts what any of them signed.
     *
     * @param keys shared by all governors, 16 bytes each at least
     * @throws IllegalArgumentException if a key is too short
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
     * A {@link PeerMessage} as a datagram.
     *
     * @throws IllegalArgumentException if it is no such message or does not fit into one datagram
     */
    public byte[] encode(Object message) {
        if (message instanceof PeerMessage peerMessage) {
            return encode(peerMessage);
        }
        throw new IllegalArgumentException("no message: " + message);
    }

    /**
     * A message as a datagram.
     *
     * @throws IllegalArgumentException if it does not fit into one
     */
    public byte[] encode(PeerMessage message) {
        ByteBuffer out = ByteBuffer.allocate(BUFFER_BYTES).put(VERSION);
        message.deliverTo(new PeerMessageEncoder(out));
        byte[] content = Arrays.copyOf(out.array(), out.position());
        if (content.length + MAC_BYTES > MAX_PACKET_BYTES) {
            throw new IllegalArgumentException("a message of " + content.length + " bytes");
        }
        byte[] packet = Arrays.copyOf(content, content.length + MAC_BYTES);
        System.arraycopy(macs.get(0).doFinal(content), 0, packet, content.length, MAC_BYTES);
        return packet;
    }

    /**
     * The message of a datagram.
     *
     * @throws MalformedPacketException if it holds none that this version understands
     */
    public PeerMessage decode(byte[] packet) throws MalformedPacketException {
        ByteBuffer in = ByteBuffer.wrap(authenticatedContent(packet));
        byte version = in.get();
        if (version != VERSION) {
            throw new MalformedPacketException(
                    "version " + version + "; this program speaks " + VERSION);
        }
        try {
            PeerMessage message = new PeerMessageDecoder(in).decode();
            if (in.hasRemaining()) {
                throw new MalformedPacketException(in.remaining() + " bytes too many");
            }
            return message;
        } catch (BufferUnderflowException | IndexOutOfBoundsException e) {
            throw new MalformedPacketException("it ends too early");
        }
    }

    /** The packet without its authentication code, once that is verified. */
    private byte[] authenticatedContent(byte[] packet) throws MalformedPacketException {
        if (packet.length > MAX_PACKET_BYTES || packet.length < HEADER_BYTES + MAC_BYTES) {
            throw new MalformedPacketException("a packet of " + packet.length + " bytes");
        }
        byte[] content = Arrays.copyOf(packet, packet.length - MAC_BYTES);
        byte[] receivedMac = Arrays.copyOfRange(packet, content.length, packet.length);
        for (Mac mac : macs) {
            byte[] expectedMac = Arrays.copyOf(mac.doFinal(content), MAC_BYTES);
            if (MessageDigest.isEqual(receivedMac, expectedMac)) {
                return content;
            }
        }
        throw new MalformedPacketException("its sum is wrong: cut off, or by another key");
    }
}
