package sprucelanding.runtime.server;

import java.io.PrintStream;
import java.util.function.DoubleSupplier;
import sprucelanding.control.decision.DecisionEvent;

/**
 * The log of {@code serve}: one event a line on standard error, in length and in number bounded, so
 * that a flood of input is no flood of lines. Used on the event loop's thread, and before it runs.
 */
final class EventLog {
    private static final String PREFIX = "sprucelanding: ";

    /** Lines that may be written over time, and at once. */
    private static final double LINES_PER_SECOND = 20;

    private static final double BURST_LINES = 100;

    /** Characters of a line without its prefix. */
    private static final int MAX_LINE_LENGTH = 340;

    private static final int MAX_TRACE_PLACES = 4;
    private static final double MILLIS_PER_SECOND = 1000;

    private final PrintStream err;
    private final DoubleSupplier clockMillis;
    private double tokens = BURST_LINES;
    private double lastRefillMillis;
    private long suppressedLines;

    /**
     * Creates a log.
     *
     * @param clockMillis a monotonic clock in ms
     */
    EventLog(PrintStream err, DoubleSupplier clockMillis) {
        this.err = err;
        this.clockMillis = clockMillis;
        this.lastRefillMillis = clockMillis.getAsDouble();
    }

    /** Logs an event without fields. */
    void log(ServerEvent event) {
        log(new LogLine(event));
    }

    /** Logs an event with the reason for it. */
    void log(ServerEvent event, String reason) {
        log(new LogLine(event).withText("reason", reason));
    }

    /** Logs an event with its fields. */
    void log(LogLine line) {
        write(line.toString());
    }

    /** Logs an event of the decisions. */
    void log(DecisionEvent event) {
        write(event.logLine());
    }

    /** Logs a fault of the program with its cause and the innermost places of its trace. */
    void logFailure(LogLine line, Throwable cause) {
        log(line.withCause(cause, MAX_TRACE_PLACES));
    }

    /**
     * Logs what an event loop caught.
     *
     * @param text what the loop says of it
     */
    void logLoopError(String text, Throwable cause) {
        logFailure(new LogLine(ServerEvent.EVENT_LOOP_ERROR).withText("text", text), cause);
    }

    /** Writes why the process ends; neither shortened nor left out. */
    void logStartFailure(String reason) {
        err.println(PREFIX + new LogLine(ServerEvent.START_FAILED).withText("reason", reason));
    }

    private void write(String line) {
        double nowMillis = clockMillis.getAsDouble();
        tokens =
                Math.min(
                        BURST_LINES,
                        tokens
                                + (nowMillis - lastRefillMillis)
                                        / MILLIS_PER_SECOND
                                        * LINES_PER_SECOND);
        lastRefillMillis = nowMillis;
        if (tokens < 1) {
            suppressedLines++;
            return;
        }
        tokens--;
        if (suppressedLines > 0) {
            LogLine suppressed = new LogLine(ServerEvent.LOG_LINES_SUPPRESSED);
            err.println(PREFIX + suppressed.with("count", suppressedLines));
            suppressedLines = 0;
        }
        err.println(PREFIX + line.substring(0, Math.min(line.length(), MAX_LINE_LENGTH)));
    }
}
