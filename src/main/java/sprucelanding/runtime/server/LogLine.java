package sprucelanding.runtime.server;

/**
 * A builder of a log line of the form {@code event=name key=value ...}. Texts are written in
 * quotes, with quotes, backslashes and control characters escaped, because they may contain input
 * from a peer.
 */
final class LogLine {
    private final StringBuilder text = new StringBuilder(160);

    LogLine(ServerEvent event) {
        text.append("event=").append(event.key());
    }

    /** Adds a number. */
    LogLine with(String key, long value) {
        beginField(key).append(value);
        return this;
    }

    /**
     * Adds a value without quotes. The value must come from the program itself, not from a peer.
     */
    LogLine with(String key, String value) {
        beginField(key).append(value);
        return this;
    }

    /** Adds a text in quotes; null is written as {@code null} without quotes. */
    LogLine withText(String key, String value) {
        beginField(key);
        if (value == null) {
            text.append("null");
            return this;
        }
        text.append('"');
        for (int i = 0; i < value.length(); i++) {
            appendEscaped(value.charAt(i));
        }
        text.append('"');
        return this;
    }

    /** Adds an exception and the innermost frames of its stack trace. */
    LogLine withCause(Throwable cause, int maxStackFrames) {
        StringBuilder description = new StringBuilder(200).append(cause);
        StackTraceElement[] trace = cause.getStackTrace();
        for (int i = 0; i < trace.length && i < maxStackFrames; i++) {
            description
                    .append(" at ")
                    .append(trace[i].getFileName())
                    .append(':')
                    .append(trace[i].getLineNumber());
        }
        return withText("cause", description.toString());
    }

    private StringBuilder beginField(String key) {
        return text.append(' ').append(key).append('=');
    }

    private void appendEscaped(char character) {
        if (character == '"' || character == '\\') {
            text.append('\\').append(character);
        } else if (character == '\n') {
            text.append("\\n");
        } else if (character < ' ') {
            text.append('?');
        } else {
            text.append(character);
        }
    }

    @Override
    public String toString() {
        return text.toString();
    }
}
