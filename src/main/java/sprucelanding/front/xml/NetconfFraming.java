package sprucelanding.front.xml;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * NETCONF messages over SSH (RFC 6242): ended by ]]&gt;]]&gt; until both sides have said base:1.1,
 * in chunks from then on. A message past the bound, or framing that is none, is an IOException, and
 * the session is of no more use.
 */
public final class NetconfFraming {
    private static final byte[] END_OF_MESSAGE = "]]>]]>".getBytes(StandardCharsets.US_ASCII);

    private enum State {
        START,
        HASH,
        CHUNK_SIZE,
        CHUNK_DATA
    }

    private final int maxMessageBytes;
    private final Consumer<byte[]> messageHandler;
    private final ByteArrayOutputStream message = new ByteArrayOutputStream();
    private boolean useChunkedFraming;
    private int matchedMarkerBytes;
    private State state = State.START;
    private long remainingChunkBytes;
    private boolean hasChunkSize;
    private boolean atEndOfChunks;

    /**
     * @param most bytes of a message
     */
    public NetconfFraming(int maxMessageBytes, Consumer<byte[]> messageHandler) {
        this.maxMessageBytes = maxMessageBytes;
        this.messageHandler = messageHandler;
    }

    /** From the next message on, both ways. */
    public void useChunkedFraming() {
        useChunkedFraming = true;
    }

    public void onBytes(byte[] bytes, int offset, int length) throws IOException {
        for (int i = offset; i < offset + length; i++) {
            if (useChunkedFraming) {
                decodeChunked(bytes[i]);
            } else {
                decodeEndMarked(bytes[i]);
            }
        }
    }

    private void decodeEndMarked(byte value) throws IOException {
        message.write(value);
        matchedMarkerBytes =
                value == END_OF_MESSAGE[matchedMarkerBytes]
                        ? matchedMarkerBytes + 1
                        : value == END_OF_MESSAGE[0]
                                ? 1 + (matchedMarkerBytes % 3 == 2 ? 1 : 0)
                                : 0;
        if (matchedMarkerBytes == END_OF_MESSAGE.length) {
            byte[] bytes = message.toByteArray();
            message.reset();
            matchedMarkerBytes = 0;
            messageHandler.accept(
                    java.util.Arrays.copyOf(bytes, bytes.length - END_OF_MESSAGE.length));
        }
        checkMessageSize();
    }

    private void decodeChunked(byte value) throws IOException {
        switch (state) {
            case START -> {
                expect(value, '\n');
                state = State.HASH;
            }
            case HASH -> {
                expect(value, '#');
                state = State.CHUNK_SIZE;
                remainingChunkBytes = 0;
                hasChunkSize = false;
                atEndOfChunks = false;
            }
            case CHUNK_SIZE -> {
                if (value == '#' && !hasChunkSize && !atEndOfChunks) {
                    atEndOfChunks = true;
                } else if (value == '\n' && atEndOfChunks) {
                    state = State.START;
                    byte[] bytes = message.toByteArray();
                    message.reset();
                    if (bytes.length == 0) {
                        throw new IOException("an end of chunks without a chunk");
                    }
                    messageHandler.accept(bytes);
                } else if (value == '\n' && hasChunkSize) {
                    state = State.CHUNK_DATA;
                } else if (!atEndOfChunks && value >= (hasChunkSize ? '0' : '1') && value <= '9') {
                    remainingChunkBytes = remainingChunkBytes * 10 + value - '0';
                    hasChunkSize = true;
                    if (remainingChunkBytes > 4_294_967_295L
                            || message.size() + remainingChunkBytes > maxMessageBytes) {
                        throw new IOException(
                                "a chunk of "
                                        + remainingChunkBytes
                                        + " bytes or more; "
                                        + maxMessageBytes
                                        + " at most");
                    }
                } else {
                    throw new IOException("no chunk size: byte " + value);
                }
            }
            case CHUNK_DATA -> {
                message.write(value);
                state = --remainingChunkBytes == 0 ? State.START : State.CHUNK_DATA;
            }
        }
    }

    private static void expect(byte value, char expected) throws IOException {
        if (value != expected) {
            throw new IOException(
                    "expected " + (int) expected + " of a chunk's head, found " + value);
        }
    }

    private void checkMessageSize() throws IOException {
        if (message.size() > maxMessageBytes) {
            throw new IOException("a message of more than " + maxMessageBytes + " bytes");
        }
    }

    /** A message as it goes out. */
    public byte[] frame(String text) {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream out = new ByteArrayOutputStream(body.length + 24);
        if (useChunkedFraming) {
            out.writeBytes(("\n#" + body.length + "\n").getBytes(StandardCharsets.US_ASCII));
            out.writeBytes(body);
            out.writeBytes("\n##\n".getBytes(StandardCharsets.US_ASCII));
        } else {
            out.writeBytes(body);
            out.writeBytes(END_OF_MESSAGE);
        }
        return out.toByteArray();
    }
}
