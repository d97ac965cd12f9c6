package sprucelanding.runtime.server;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Cuts the bytes of a connection into lines. Its buffer grows by doubling, at the cost of a budget
 * that all connections share, and shrinks after a long line.
 */
final class LineFramer {
    /** What became of a byte. */
    enum Outcome {
        /** It is part of a line that goes on. */
        INCOMPLETE,
        /** It ended a line, which can be taken. */
        COMPLETE,
        /** The line has more bytes than it may have. */
        LINE_TOO_LONG,
        /** The budget is used up. */
        BUDGET_EXCEEDED
    }

    private static final int INITIAL_BYTES = 256;

    /** A buffer that has grown past that shrinks after its line. */
    private static final int MAX_RETAINED_BYTES = 4096;

    private final ByteBudget budget;
    private byte[] lineBuffer = new byte[INITIAL_BYTES];
    private int lineLength;

    LineFramer(ByteBudget budget) {
        this.budget = budget;
        budget.reserve(lineBuffer.length);
    }

    /** Takes the next byte; a line may have that many, its end not counted. */
    Outcome append(byte next, int maxLineBytes) {
        if (next == '\n') {
            return Outcome.COMPLETE;
        }
        if (lineLength >= maxLineBytes) {
            return Outcome.LINE_TOO_LONG;
        }
        if (lineLength == lineBuffer.length) {
            if (!budget.reserve(lineLength)) {
                return Outcome.BUDGET_EXCEEDED;
            }
            lineBuffer = Arrays.copyOf(lineBuffer, 2 * lineLength);
        }
        lineBuffer[lineLength] = next;
        lineLength++;
        return Outcome.INCOMPLETE;
    }

    /** The line that was completed; the next begins. */
    String takeLine() {
        int length = lineLength;
        lineLength = 0;
        return new String(lineBuffer, 0, length, StandardCharsets.UTF_8);
    }

    /** Gives back what a long line has taken; to be called once it was handled. */
    void shrink() {
        if (lineBuffer.length > MAX_RETAINED_BYTES) {
            budget.release(lineBuffer.length - INITIAL_BYTES);
            lineBuffer = new byte[INITIAL_BYTES];
        }
    }

    /** Gives back the whole buffer: the connection has ended. */
    void release() {
        budget.release(lineBuffer.length);
    }
}
