package sprucelanding.runtime.server;

import java.io.PrintStream;
import java.util.function.DoubleSupplier;
import sprucelanding.control.decision.DecisionEvent;

/**
 * The log of {@code serve}. It writes one event a line to standard error. The length and the rate
 * of lines are limited, so that a flood of input cannot cause a flood of log lines. The log is used
 * before the event loop runs, and then on the loop's thread only.
 */
final class EventLog {
    private static final String PREFIX = "sprucelanding: ";

    /** The sustained rate of log lines. */
    private static final double LINES_PER_SECOND = 20;

    /** The number of lines that may be written at once. */
    private static final double BURST_LINES = 100;

    /** Maximum number of characters in a line, without its prefix. */
    private static final int MAX_LINE_LENGTH = 340;

    private static final int MAX_STACK_FRAMES = 4;
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

    /** Logs an event of the controller's decisions. */
    void log(DecisionEvent event) {
        write(event.logLine());
    }

    /** Logs an internal error with its cause and the innermost frames of the stack trace. */
    void logFailure(LogLine line, Throwable cause) {
        log(line.withCause(cause, MAX_STACK_FRAMES));
    }

    /**
     * Logs an exception that the event loop caught.
     *
     * @param text the event loop's description of the failure
     */
    void logLoopError(String text, Throwable cause) {
        logFailure(new LogLine(ServerEvent.EVENT_LOOP_ERROR).withText("text", text), cause);
    }

    /** Logs why the process cannot start. The line is neither shortened nor suppressed. */
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
