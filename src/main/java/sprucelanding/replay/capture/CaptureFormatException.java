package sprucelanding.replay.capture;

import java.io.IOException;

/**
 * Thrown for a file that is not a capture, is damaged, or has a format version not supported here.
 */
public final class CaptureFormatException extends IOException {
    private static final long serialVersionUID = 1L;

    private final long offset;

    CaptureFormatException(long offset, String reason) {
        this(offset, reason, null);
    }

    CaptureFormatException(long offset, String reason, Throwable cause) {
        super("offset " + offset + ": " + reason, cause);
        this.offset = offset;
    }

    /** Returns the position of the fault, in bytes from the start of the file. */
    public long offset() {
        return offset;
    }

    /**
     * Returns the text of a plain IOException, so that this exception is reported like any other
     * I/O error. The message holds the offset and the reason.
     */
    @Override
    public String toString() {
        return IOException.class.getName() + ": " + getMessage();
    }
}
