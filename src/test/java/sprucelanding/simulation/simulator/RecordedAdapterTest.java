package sprucelanding.simulation.simulator;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Compares the simulator adapter's replies to recorded inputs, byte for byte.
 *
 * <p>The inputs hold what a simulator sent while it executed the commands of that time: its timers,
 * health check results and acknowledgements fit the recorded replies. Run with {@code
 * -Drecorded.write=true} to write the recordings; they are never edited later: a difference is a
 * defect of the change.
 */
class RecordedAdapterTest {
    private static final String CASE = "==== ";

    /** One run of the adapter: its exit code and what it wrote. */
    private record Run(int exitCode, String replies, String errors) {}

    private static Run run(String input) {
        ByteArrayOutputStream replies = new ByteArrayOutputStream();
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        int exitCode =
                new SimulatorAdapter(
                                new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                                replies,
                                new PrintStream(errors, true, StandardCharsets.UTF_8))
                        .run();
        return new Run(
                exitCode,
                replies.toString(StandardCharsets.UTF_8),
                errors.toString(StandardCharsets.UTF_8));
    }

    private static String transcript(Run run) {
        return run.replies() + "errors:\n" + run.errors() + "exit code " + run.exitCode() + "\n";
    }

    /**
     * One scenario has three instances with different settings, which crash and start again; in the
     * other many proxies join an instance with a slow channel.
     */
    @ParameterizedTest
    @ValueSource(strings = {"several-instances", "join-rush"})
    void repliesToWholeScenarios(String scenario) throws IOException {
        String input = WireRecording.input("adapter/" + scenario + ".in");
        WireRecording.check("adapter/" + scenario + ".out", transcript(run(input)));
    }

    /** Each case is the whole input of an adapter of its own. */
    @Test
    void repliesToOddAndMalformedInput() throws IOException {
        StringBuilder all = new StringBuilder();
        String cases = WireRecording.input("adapter/odd-input.in");
        for (String each : cases.substring(CASE.length()).split("(?m)^" + CASE)) {
            int endOfName = each.indexOf('\n');
            all.append(CASE).append(each, 0, endOfName + 1);
            all.append(transcript(run(each.substring(endOfName + 1))));
        }
        WireRecording.check("adapter/odd-input.out", all.toString());
    }
}
