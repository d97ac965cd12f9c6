package sprucelanding.runtime.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import sprucelanding.control.decision.DecisionEvent;

class EventLogTest {
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private double nowMillis;
    private final EventLog eventLog =
            new EventLog(new PrintStream(output, true, StandardCharsets.UTF_8), () -> nowMillis);

    private List<String> lines() {
        List<String> lines = output.toString(StandardCharsets.UTF_8).lines().toList();
        output.reset();
        return lines;
    }

    @Test
    void textIsQuotedAndCannotStartANewLine() {
        eventLog.log(ServerEvent.MESSAGE_DROPPED, "no \"such\"\n\u0007event=forged \\");
        assertEquals(
                List.of(
                        "sprucelanding: event=message_dropped"
                                + " reason=\"no \\\"such\\\"\\n?event=forged \\\\\""),
                lines());
    }

    @Test
    void decisionEventsAreWrittenUnchanged() {
        eventLog.log(new DecisionEvent.EndpointRestored(7));
        assertEquals(List.of("sprucelanding: event=endpoint_restored endpoint=7"), lines());
    }

    /** The soak finds internal errors by these texts; see ServeProcess. */
    @Test
    void internalErrorsKeepTheTextsThatTheSoakMatches() {
        IllegalStateException cause = new IllegalStateException("broken");
        eventLog.logLoopError("a step failed", cause);
        LogLine decision = new LogLine(ServerEvent.DECISION_FAILED);
        eventLog.logFailure(decision.withText("text", ControllerHost.DECISION_FAILED_TEXT), cause);
        eventLog.logFailure(new LogLine(ServerEvent.UPDATE_FAILED).with("proxy", 3), cause);
        List<String> lines = lines();
        String causeStart = "java.lang.IllegalStateException: broken at EventLogTest.java:";
        assertTrue(
                lines.get(0)
                        .startsWith(
                                "sprucelanding: event=event_loop_error text=\"a step failed\""
                                        + " cause=\""
                                        + causeStart),
                lines.get(0));
        assertTrue(
                lines.get(1)
                        .startsWith(
                                "sprucelanding: event=decision_failed text=\"a decision failed\""
                                        + " cause=\""
                                        + causeStart),
                lines.get(1));
        assertTrue(
                lines.get(2)
                        .startsWith(
                                "sprucelanding: event=update_failed proxy=3 cause=\"" + causeStart),
                lines.get(2));
    }

    @Test
    void excessLinesAreSuppressedAndCounted() {
        for (int i = 0; i < 130; i++) {
            eventLog.log(ServerEvent.CONFIG_RELOADED);
        }
        assertEquals(100, lines().size());
        nowMillis = 1000;
        eventLog.log(ServerEvent.CONFIG_RELOADED);
        assertEquals(
                List.of(
                        "sprucelanding: event=log_lines_suppressed count=30",
                        "sprucelanding: event=config_reloaded"),
                lines());
    }

    @Test
    void longLinesAreTruncatedExceptStartFailures() {
        String reason = "x".repeat(1000);
        eventLog.log(ServerEvent.DISCOVERY_LOST, reason);
        eventLog.logStartFailure(reason);
        List<String> lines = lines();
        assertEquals("sprucelanding: ".length() + 340, lines.get(0).length());
        assertEquals("sprucelanding: event=start_failed reason=\"" + reason + "\"", lines.get(1));
    }

    @Test
    void eachEventKeyIsItsConstantNameAndIsDocumented() throws IOException {
        String page = Files.readString(Path.of("docs/platform.md"), StandardCharsets.UTF_8);
        for (ServerEvent event : ServerEvent.values()) {
            assertEquals(event.name().toLowerCase(Locale.ROOT), event.key());
            assertTrue(page.contains("| `" + event.key() + "` |"), event.key());
        }
    }

    @Test
    void eachDecisionEventIsDocumented() throws IOException {
        String page = Files.readString(Path.of("docs/platform.md"), StandardCharsets.UTF_8);
        List<DecisionEvent> samples =
                List.of(
                        new DecisionEvent.EndpointEjected(
                                1, DecisionEvent.EjectionReason.FAILURES, 0.5, 0.1),
                        new DecisionEvent.EndpointRestored(1),
                        new DecisionEvent.TableRestored(1),
                        new DecisionEvent.SubsetsResized(3, 0.5),
                        new DecisionEvent.OverloadChanged(true, 0.9, 0, 0),
                        new DecisionEvent.OverloadChanged(false, 0.5, 0, 0),
                        new DecisionEvent.OrderLimitReached(1000, 1),
                        new DecisionEvent.DrainViolations(1, Map.of()),
                        new DecisionEvent.DrainStatus(1, 0, 0, 0, 0, 0, 0, 0, "{}", 0));
        Set<Class<?>> sampled = new HashSet<>();
        for (DecisionEvent sample : samples) {
            sampled.add(sample.getClass());
            String key = sample.logLine().split("[= ]")[1];
            assertTrue(page.contains("| `" + key + "` |"), key);
        }
        // an instance cannot be created outside of the decisions' package
        sampled.add(DecisionEvent.DrainOverdue.class);
        assertTrue(page.contains("| `drain_overdue` |"));
        assertEquals(Set.of(DecisionEvent.class.getPermittedSubclasses()), sampled);
    }
}
