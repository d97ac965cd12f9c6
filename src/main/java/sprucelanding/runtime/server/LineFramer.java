package sprucelanding.runtime.server;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * A splitter of a connection's bytes into lines. Its buffer grows by doubling, reserves its growth
 * from a budget that all connections share, and shrinks after a long line. The splitter owns the
 * bytes that it has reserved and releases each of them once.
 */
final class LineFramer {
    /** The effect of an appended byte. */
    enum Outcome {
        /** The byte is part of a line that is not complete yet. */
        INCOMPLETE,
        /** The byte completed a line, which can be taken. */
        COMPLETE,
        /** The line exceeds its maximum length. */
        LINE_TOO_LONG,
        /** The shared budget does not allow the buffer to grow. */
        BUDGET_EXCEEDED
    }

    private static final int INITIAL_BYTES = 256;

    /** A larger buffer is replaced by one of the initial size after its line. */
    private static final int MAX_RETAINED_BYTES = 4096;

    private final ByteBudget budget;
    private byte[] lineBuffer = new byte[INITIAL_BYTES];
    private int lineLength;

    /** Bytes that are reserved and not released yet. */
    private int reservedBytes;

    LineFramer(ByteBudget budget) {
        this.budget = budget;
        reserve(lineBuffer.length);
    }

    private boolean reserve(int byteCount) {
        boolean isReserved = budget.reserve(byteCount);
        reservedBytes += isReserved ? byteCount : 0;
        return isReserved;
    }

    private void releaseDownTo(int byteCount) {
        if (reservedBytes > byteCount) {
            budget.release(reservedBytes - byteCount);
            reservedBytes = byteCount;
        }
    }

    /**
     * Appends the next byte.
     *
     * @param maxLineBytes the maximum length of a line, without its newline
     */
    Outcome append(byte next, int maxLineBytes) {
        if (next == '\n') {
            return Outcome.COMPLETE;
        }
        if (lineLength >= maxLineBytes) {
            return Outcome.LINE_TOO_LONG;
        }
        if (lineLength == lineBuffer.length) {
            if (!reserve(lineLength)) {
                return Outcome.BUDGET_EXCEEDED;
            }
            lineBuffer = Arrays.copyOf(lineBuffer, 2 * lineLength);
        }
        lineBuffer[lineLength] = next;
        lineLength++;
        return Outcome.INCOMPLETE;
    }

    /** Returns the completed line and begins the next one. */
    String takeLine() {
        int length = lineLength;
        lineLength = 0;
        return new String(lineBuffer, 0, length, StandardCharsets.UTF_8);
    }

    /** Releases the memory of a long line. Called once the line has been handled. */
    void shrink() {
        if (lineBuffer.length > MAX_RETAINED_BYTES) {
            releaseDownTo(INITIAL_BYTES);
            lineBuffer = new byte[INITIAL_BYTES];
        }
    }

    /** Releases the whole buffer when the connection has ended. */
    void release() {
        releaseDownTo(0);
    }
}
