package sprucelanding.runtime.eventloop;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * A decoder of one body in chunked transfer coding (RFC 9112, section 7.1). Chunk extensions and
 * trailers are skipped.
 *
 * <p>State transitions:
 *
 * <pre>
 * SIZE_LINE  -- a size above 0 --> CONTENT
 * SIZE_LINE  -- size 0         --> TRAILERS
 * CONTENT    -- all content read --> CONTENT_END
 * CONTENT_END -- an empty line --> SIZE_LINE
 * CONTENT_END -- a size        --> the same state as from SIZE_LINE
 * TRAILERS   -- an empty line  --> COMPLETE
 * </pre>
 */
final class ChunkedBodyDecoder {
    private static final int MAX_LINE_CHARS = 256;
    private static final int SIZE_RADIX = 16;

    /** A receiver of the content, piece by piece. */
    interface ContentHandler {
        void onContent(byte[] piece) throws IOException;
    }

    private enum State {
        /** Before or within the line with a chunk's size. */
        SIZE_LINE,
        /** Within a chunk. */
        CONTENT,
        /** Before the empty line that ends a chunk. */
        CONTENT_END,
        /** After the last chunk, before the empty line that ends the body. */
        TRAILERS,
        /** After the end of the body. */
        COMPLETE
    }

    private final ContentHandler contentHandler;
    private final StringBuilder line = new StringBuilder();
    private State state = State.SIZE_LINE;

    /** Number of bytes of the current chunk that are still to be read, in state CONTENT. */
    private int remainingBytes;

    ChunkedBodyDecoder(ContentHandler contentHandler) {
        this.contentHandler = contentHandler;
    }

    boolean isComplete() {
        return state == State.COMPLETE;
    }

    /**
     * Reads a piece of content, or one byte outside the content.
     *
     * @param buffer a buffer that is not empty
     * @throws IOException if the bytes violate the grammar, or if the handler fails
     */
    void decode(ByteBuffer buffer) throws IOException {
        if (state == State.CONTENT) {
            readContent(buffer);
            return;
        }
        char next = (char) buffer.get();
        if (next != '\n') {
            if (line.append(next).length() > MAX_LINE_CHARS) {
                throw malformedSize();
            }
            return;
        }
        String completeLine = line.toString().trim();
        line.setLength(0);
        readLine(completeLine);
    }

    private void readContent(ByteBuffer buffer) throws IOException {
        byte[] piece = new byte[Math.min(remainingBytes, buffer.remaining())];
        buffer.get(piece);
        remainingBytes -= piece.length;
        if (remainingBytes == 0) {
            state = State.CONTENT_END;
        }
        contentHandler.onContent(piece);
    }

    private void readLine(String text) throws IOException {
        if (state == State.CONTENT_END && text.isEmpty()) {
            state = State.SIZE_LINE;
        } else if (state != State.TRAILERS) {
            remainingBytes = chunkSize(text);
            state = remainingBytes == 0 ? State.TRAILERS : State.CONTENT;
        } else if (text.isEmpty()) {
            state = State.COMPLETE;
        }
    }

    private static int chunkSize(String text) throws IOException {
        String digits = text.split(";", 2)[0].trim();
        int size;
        try {
            size = Integer.parseInt(digits, SIZE_RADIX);
        } catch (NumberFormatException e) {
            throw malformedSize();
        }
        if (size < 0) {
            throw malformedSize();
        }
        return size;
    }

    private static IOException malformedSize() {
        return new IOException(
                "malformed HTTP chunk size: expected a hexadecimal integer that is not negative");
    }
}
