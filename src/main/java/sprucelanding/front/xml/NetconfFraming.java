package sprucelanding.front.xml;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * The message framing of one NETCONF session (RFC 6242). Splits received bytes into messages, and
 * frames outgoing messages. A session starts with the end-of-message framing (section 4.3) and
 * changes to the chunked framing (section 4.2) once both peers have announced base:1.1.
 *
 * <p>The decoder of the chunked framing has these states:
 *
 * <table>
 * <caption>Transitions of the chunked framing</caption>
 * <tr><th>state</th><th>byte</th><th>next state</th></tr>
 * <tr><td>CHUNK_START</td><td>LF</td><td>HASH</td></tr>
 * <tr><td>HASH</td><td>#</td><td>CHUNK_SIZE</td></tr>
 * <tr><td>CHUNK_SIZE</td><td>digit</td><td>CHUNK_SIZE</td></tr>
 * <tr><td>CHUNK_SIZE</td><td>LF after a digit</td><td>CHUNK_DATA</td></tr>
 * <tr><td>CHUNK_SIZE</td><td># as the first byte</td><td>END_OF_CHUNKS</td></tr>
 * <tr><td>CHUNK_DATA</td><td>last byte of the chunk</td><td>CHUNK_START</td></tr>
 * <tr><td>END_OF_CHUNKS</td><td>LF</td><td>CHUNK_START, the message is delivered</td></tr>
 * </table>
 *
 * <p>Any other byte is rejected with a {@link MalformedMessageException}. The session must then be
 * closed, because the framing can't be resynchronized. Not thread-safe.
 */
public final class NetconfFraming {
    private static final byte[] END_OF_MESSAGE = "]]>]]>".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] END_OF_CHUNKS = "\n##\n".getBytes(StandardCharsets.US_ASCII);

    /** The largest chunk of the protocol (RFC 6242, section 4.2). */
    private static final long MAX_CHUNK_BYTES = 4_294_967_295L;

    /** Estimated size of the framing around a message, for a buffer's initial capacity. */
    private static final int FRAMING_BYTES_ESTIMATE = 24;

    private enum State {
        CHUNK_START,
        HASH,
        CHUNK_SIZE,
        CHUNK_DATA,
        END_OF_CHUNKS
    }

    private final int maxMessageBytes;
    private final Consumer<byte[]> messageHandler;
    private final ByteArrayOutputStream message = new ByteArrayOutputStream();
    private boolean chunkedFraming;

    /** Number of bytes of the end-of-message marker that the received bytes end with. */
    private int matchedMarkerBytes;

    private State state = State.CHUNK_START;

    /**
     * In CHUNK_SIZE, the size that was read so far; 0 if no digit was read. In CHUNK_DATA, the
     * number of bytes that are missing.
     */
    private long remainingChunkBytes;

    /**
     * Creates a framing that starts as end-of-message framing.
     *
     * @param maxMessageBytes the largest message that is accepted
     * @param messageHandler receives each complete message without its framing
     */
    public NetconfFraming(int maxMessageBytes, Consumer<byte[]> messageHandler) {
        this.maxMessageBytes = maxMessageBytes;
        this.messageHandler = messageHandler;
    }

    /** Changes to the chunked framing in both directions, from the next message on. */
    public void useChunkedFraming() {
        chunkedFraming = true;
    }

    /**
     * Decodes received bytes and calls the handler for each message that they complete.
     *
     * @throws MalformedMessageException if the framing is invalid or a message is too large
     */
    public void onBytes(byte[] bytes, int offset, int length) throws IOException {
        for (int i = offset; i < offset + length; i++) {
            if (chunkedFraming) {
                decodeChunked(bytes[i]);
            } else {
                decodeEndMarked(bytes[i]);
            }
        }
    }

    private void decodeEndMarked(byte value) throws MalformedMessageException {
        message.write(value);
        matchedMarkerBytes = markerBytesMatchedWith(value);
        if (matchedMarkerBytes == END_OF_MESSAGE.length) {
            byte[] bytes = takeMessage();
            matchedMarkerBytes = 0;
            messageHandler.accept(Arrays.copyOf(bytes, bytes.length - END_OF_MESSAGE.length));
        }
        if (message.size() > maxMessageBytes) {
            throw new MalformedMessageException(
                    "message exceeds the limit of " + maxMessageBytes + " bytes");
        }
    }

    private int markerBytesMatchedWith(byte value) {
        if (value == END_OF_MESSAGE[matchedMarkerBytes]) {
            return matchedMarkerBytes + 1;
        }
        if (value != END_OF_MESSAGE[0]) {
            return 0;
        }
        // A third "]" was received after "]]": the last two of "]]]" may begin the marker.
        boolean followsTwoBrackets = matchedMarkerBytes % 3 == 2;
        return followsTwoBrackets ? 2 : 1;
    }

    private void decodeChunked(byte value) throws MalformedMessageException {
        switch (state) {
            case CHUNK_START -> {
                expect(value, '\n');
                state = State.HASH;
            }
            case HASH -> {
                expect(value, '#');
                state = State.CHUNK_SIZE;
                remainingChunkBytes = 0;
            }
            case CHUNK_SIZE -> decodeChunkSize(value);
            case CHUNK_DATA -> {
                message.write(value);
                remainingChunkBytes--;
                state = remainingChunkBytes == 0 ? State.CHUNK_START : State.CHUNK_DATA;
            }
            case END_OF_CHUNKS -> decodeEndOfChunks(value);
            default -> throw new AssertionError(state);
        }
    }

    private void decodeChunkSize(byte value) throws MalformedMessageException {
        boolean hasDigits = remainingChunkBytes > 0;
        char lowestDigit = hasDigits ? '0' : '1';
        if (value == '#' && !hasDigits) {
            state = State.END_OF_CHUNKS;
        } else if (value == '\n' && hasDigits) {
            state = State.CHUNK_DATA;
        } else if (value >= lowestDigit && value <= '9') {
            remainingChunkBytes = remainingChunkBytes * 10 + value - '0';
            checkChunkSize();
        } else {
            throw invalidChunkHeader(value);
        }
    }

    private void checkChunkSize() throws MalformedMessageException {
        if (remainingChunkBytes > MAX_CHUNK_BYTES
                || message.size() + remainingChunkBytes > maxMessageBytes) {
            throw new MalformedMessageException(
                    "message with a chunk of at least "
                            + remainingChunkBytes
                            + " bytes exceeds the limit of "
                            + maxMessageBytes
                            + " bytes");
        }
    }

    private void decodeEndOfChunks(byte value) throws MalformedMessageException {
        if (value != '\n') {
            throw invalidChunkHeader(value);
        }
        state = State.CHUNK_START;
        byte[] bytes = takeMessage();
        if (bytes.length == 0) {
            throw new MalformedMessageException("end of chunks without a preceding chunk");
        }
        messageHandler.accept(bytes);
    }

    private byte[] takeMessage() {
        byte[] bytes = message.toByteArray();
        message.reset();
        return bytes;
    }

    private static MalformedMessageException invalidChunkHeader(byte value) {
        return new MalformedMessageException("invalid chunk header: unexpected byte " + value);
    }

    private static void expect(byte value, char expected) throws MalformedMessageException {
        if (value != expected) {
            throw new MalformedMessageException(
                    "invalid chunk header: expected byte " + (int) expected + ", found " + value);
        }
    }

    /**
     * Frames an outgoing message.
     *
     * @return the bytes to write, in the framing that is currently in use
     */
    public byte[] frame(String text) {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream framed =
                new ByteArrayOutputStream(body.length + FRAMING_BYTES_ESTIMATE);
        if (chunkedFraming) {
            framed.writeBytes(("\n#" + body.length + "\n").getBytes(StandardCharsets.US_ASCII));
            framed.writeBytes(body);
            framed.writeBytes(END_OF_CHUNKS);
        } else {
            framed.writeBytes(body);
            framed.writeBytes(END_OF_MESSAGE);
        }
        return framed.toByteArray();
    }
}
