package sprucelanding.front.xml;

import java.io.IOException;

/** Signals that a peer's message has invalid framing (RFC 6242) or XML, or exceeds a limit. */
public final class MalformedMessageException extends IOException {
    private static final long serialVersionUID = 1;

    MalformedMessageException(String message) {
        super(message);
    }

    MalformedMessageException(String message, Throwable cause) {
        super(message, cause);
    }
}
