package sprucelanding.runtime.server;

import java.io.PrintStream;
import java.util.function.DoubleSupplier;

/** Short lines on standard error, no more of them than a flood may cause. */
final class EventLog {
    private static final double LINES_PER_SECOND = 20;
    private static final double BURST_LINES = 100;
    private static final int MAX_LINE_LENGTH = 300;

    private final PrintStream err;
    private final DoubleSupplier clockMillis;
    private double tokens = BURST_LINES;
    private double lastRefillMillis;
    private long suppressedLines;

    /** Clock: ms. */
    EventLog(PrintStream err, DoubleSupplier clockMillis) {
        this.err = err;
        this.clockMillis = clockMillis;
        this.lastRefillMillis = clockMillis.getAsDouble();
    }

    void log(String message) {
        double nowMillis = clockMillis.getAsDouble();
        tokens =
                Math.min(
                        BURST_LINES,
                        tokens + (nowMillis - lastRefillMillis) / 1000 * LINES_PER_SECOND);
        lastRefillMillis = nowMillis;
        if (tokens < 1) {
            suppressedLines++;
            return;
        }
        tokens--;
        if (suppressedLines > 0) {
            err.println("sprucelanding: " + suppressedLines + " lines were not written");
            suppressedLines = 0;
        }
        err.println(
                "sprucelanding: "
                        + (message.length() > MAX_LINE_LENGTH
                                ? message.substring(0, MAX_LINE_LENGTH)
                                : message));
    }

    void logFailure(String message, Throwable cause) {
        StringBuilder text = new StringBuilder(message).append(": ").append(cause);
        StackTraceElement[] trace = cause.getStackTrace();
        for (int i = 0; i < trace.length && i < 4; i++) {
            text.append(" at ")
                    .append(trace[i].getFileName())
                    .append(':')
                    .append(trace[i].getLineNumber());
        }
        log(text.toString());
    }
}
