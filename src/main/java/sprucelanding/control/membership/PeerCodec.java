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
 * An encoder and decoder of messages between governors as datagrams of at most 1,400 bytes. A
 * datagram holds the protocol version, the kind, the content, and a message authentication code
 * under a key that all governors share (HMAC-SHA-256, RFC 2104, truncated to 16 bytes). Numbers are
 * big-endian. The codec rejects a packet as a whole if it is forged, truncated, too long or of
 * another version. A codec must be used by one thread only.
 */
public final class PeerCodec {
    /** A failure to decode a packet. The message says what is wrong with the packet. */
    public static final class MalformedPacketException extends Exception {
        private static final long serialVersionUID = 1;

        MalformedPacketException(String reason) {
            super(reason);
        }
    }

    /** The size of the largest datagram, including its authentication code. */
    public static final int MAX_PACKET_BYTES = 1400;

    private static final byte VERSION = 2;
    private static final int HEADER_BYTES = 2; // version and kind
    private static final int MAC_BYTES = 16;
    private static final String MAC_ALGORITHM = "HmacSHA256";
    private static final int BUFFER_BYTES = 64 * 1024;

    private final List<Mac> macs = new ArrayList<>();

    /**
     * Creates a codec that signs with the first key and accepts packets that were signed with any
     * of the keys.
     *
     * @param keys keys that all governors share, each of at least 16 bytes
     * @throws IllegalArgumentException if a key is too short
     */
    public PeerCodec(List<byte[]> keys) {
        for (byte[] key : keys) {
            if (key.length < MAC_BYTES) {
                throw new IllegalArgumentException(
                        "peer key: got " + key.length + " bytes, expected at least " + MAC_BYTES);
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
     * Encodes a {@link PeerMessage} as a datagram.
     *
     * @throws IllegalArgumentException if the object is not a PeerMessage or does not fit into one
     *     datagram
     */
    public byte[] encode(Object message) {
        if (message instanceof PeerMessage peerMessage) {
            return encode(peerMessage);
        }
        throw new IllegalArgumentException("not a PeerMessage: " + message);
    }

    /**
     * Encodes a message as a datagram.
     *
     * @throws IllegalArgumentException if the message does not fit into one datagram
     */
    public byte[] encode(PeerMessage message) {
        ByteBuffer out = ByteBuffer.allocate(BUFFER_BYTES).put(VERSION);
        message.deliverTo(new PeerMessageEncoder(out));
        byte[] content = Arrays.copyOf(out.array(), out.position());
        if (content.length + MAC_BYTES > MAX_PACKET_BYTES) {
            throw new IllegalArgumentException(
                    "message of "
                            + content.length
                            + " bytes, expected at most "
                            + (MAX_PACKET_BYTES - MAC_BYTES));
        }
        byte[] packet = Arrays.copyOf(content, content.length + MAC_BYTES);
        System.arraycopy(macs.get(0).doFinal(content), 0, packet, content.length, MAC_BYTES);
        return packet;
    }

    /**
     * Decodes the message of a datagram.
     *
     * @throws MalformedPacketException if the datagram holds no message that this version
     *     understands
     */
    public PeerMessage decode(byte[] packet) throws MalformedPacketException {
        ByteBuffer in = ByteBuffer.wrap(authenticatedContent(packet));
        byte version = in.get();
        if (version != VERSION) {
            throw new MalformedPacketException(
                    "packet version " + version + ", expected " + VERSION);
        }
        try {
            PeerMessage message = new PeerMessageDecoder(in).decode();
            if (in.hasRemaining()) {
                throw new MalformedPacketException(
                        in.remaining() + " extra bytes after the end of the message");
            }
            return message;
        } catch (BufferUnderflowException | IndexOutOfBoundsException e) {
            throw new MalformedPacketException(
                    "packet of "
                            + packet.length
                            + " bytes ends within its message, or holds an invalid count or state");
        }
    }

    /** Returns the packet without its authentication code, once the code is verified. */
    private byte[] authenticatedContent(byte[] packet) throws MalformedPacketException {
        if (packet.length > MAX_PACKET_BYTES || packet.length < HEADER_BYTES + MAC_BYTES) {
            throw new MalformedPacketException(
                    "packet of "
                            + packet.length
                            + " bytes, expected "
                            + (HEADER_BYTES + MAC_BYTES)
                            + " to "
                            + MAX_PACKET_BYTES);
        }
        byte[] content = Arrays.copyOf(packet, packet.length - MAC_BYTES);
        byte[] receivedMac = Arrays.copyOfRange(packet, content.length, packet.length);
        for (Mac mac : macs) {
            byte[] expectedMac = Arrays.copyOf(mac.doFinal(content), MAC_BYTES);
            if (MessageDigest.isEqual(receivedMac, expectedMac)) {
                return content;
            }
        }
        throw new MalformedPacketException(
                "authentication code does not match: packet of "
                        + packet.length
                        + " bytes is truncated, altered or signed with another key");
    }
}
