package sprucelanding.replay.capture;

import java.io.IOException;

/** A file that is no capture, or one that this version cannot read. */
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

    /** Where in the file the fault is, in bytes from its begin. */
    public long offset() {
        return offset;
    }

    /** Reported as any other I/O error: the message has the offset and the reason. */
    @Override
    public String toString() {
        return IOException.class.getName() + ": " + getMessage();
    }
}
