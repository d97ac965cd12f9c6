package sprucelanding.simulation.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Tests the text of a soak report: the names of the rules and the line with the numbers. */
class RecordedSoakReportTest {
    @Test
    void rulesArePrintedByTheirNames() {
        assertEquals(
                List.of(
                        "DRAIN",
                        "NO_ENDPOINT",
                        "BACKLOG",
                        "MESSAGES",
                        "CRASH",
                        "INTERNAL",
                        "EJECTION"),
                Arrays.stream(InvariantChecker.Rule.values()).map(String::valueOf).toList());
    }

    @Test
    void reportTextIsUnchanged() {
        TreeMap<String, Integer> violations = new TreeMap<>();
        assertEquals(
                "seed 7: no violation, 3 joins, 4 messages, 0 removals counted as late",
                new SoakRunner.Report(7, violations, List.of(), 3, 4, 0).toString());
        violations.put("DRAIN", 2);
        violations.put("CRASH", 1);
        assertEquals(
                "seed 7: violations {CRASH=1, DRAIN=2}, 3 joins, 4 messages, 5 removals counted as"
                        + " late\n  DRAIN: x\n  CRASH: y",
                new SoakRunner.Report(7, violations, List.of("DRAIN: x", "CRASH: y"), 3, 4, 5)
                        .toString());
    }
}
