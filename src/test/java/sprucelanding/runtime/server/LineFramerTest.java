package sprucelanding.runtime.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class LineFramerTest {
    private static final int INITIAL_BYTES = 256;

    private final ByteBudget budget = new ByteBudget(20_000);
    private final LineFramer framer = new LineFramer(budget);

    /** Appends a text and returns the outcome of its last byte. */
    private LineFramer.Outcome append(String text) {
        LineFramer.Outcome outcome = LineFramer.Outcome.INCOMPLETE;
        for (byte next : text.getBytes(StandardCharsets.UTF_8)) {
            outcome = framer.append(next, 10_000);
        }
        return outcome;
    }

    @Test
    void linesAreSplitAtNewlinesHoweverTheBytesAreFragmented() {
        List<String> lines = new ArrayList<>();
        for (String piece : List.of("on", "e", "\n", "two\n", "\n", "thr\u00e9e\n", "fou")) {
            if (append(piece) == LineFramer.Outcome.COMPLETE) {
                lines.add(framer.takeLine());
            }
        }
        assertEquals(List.of("one", "two", "", "thr\u00e9e"), lines);
    }

    @Test
    void lineOfMaximumLengthIsAcceptedAndOneByteMoreIsRejected() {
        assertEquals(LineFramer.Outcome.INCOMPLETE, append("x".repeat(10_000)));
        assertEquals(LineFramer.Outcome.LINE_TOO_LONG, append("x"));
        assertEquals(LineFramer.Outcome.COMPLETE, append("\n"));
        assertEquals(10_000, framer.takeLine().length());
    }

    @Test
    void bufferReservesBudgetAsItGrowsAndReleasesItAfterALongLine() {
        assertEquals(INITIAL_BYTES, budget.reservedBytes());
        append("x".repeat(INITIAL_BYTES) + "x");
        assertEquals(2 * INITIAL_BYTES, budget.reservedBytes());
        append("x".repeat(5000) + "\n");
        assertEquals(8192, budget.reservedBytes());
        framer.takeLine();
        framer.shrink();
        assertEquals(INITIAL_BYTES, budget.reservedBytes());
        framer.release();
        assertEquals(0, budget.reservedBytes());
    }

    @Test
    void lineThatExceedsTheBudgetIsRejected() {
        budget.reserve(19_000);
        assertEquals(LineFramer.Outcome.INCOMPLETE, append("x".repeat(512)));
        assertEquals(LineFramer.Outcome.BUDGET_EXCEEDED, append("x"));
    }

    /** Guards against refused growth that is counted for good and closes later connections. */
    @Test
    void refusedGrowthIsNotReserved() {
        budget.reserve(19_000);
        append("x".repeat(513));
        assertEquals(19_000 + 2 * INITIAL_BYTES, budget.reservedBytes());
        framer.release();
        assertEquals(19_000, budget.reservedBytes());
    }

    /** Guards against bytes that are released twice when a long line closes the connection. */
    @Test
    void bufferThatWasReleasedIsNotReleasedAgain() {
        append("x".repeat(5000) + "\n");
        framer.takeLine();
        framer.release();
        framer.shrink();
        framer.release();
        assertEquals(0, budget.reservedBytes());
    }
}
