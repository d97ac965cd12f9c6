package sprucelanding.front.xml;

import java.io.IOException;

/** A peer's message is neither valid framing (RFC 6242) nor XML, or it exceeds a bound. */
public final class MalformedMessageException extends IOException {
    private static final long serialVersionUID = 1;

    MalformedMessageException(String message) {
        super(message);
    }

    MalformedMessageException(String message, Throwable cause) {
        super(message, cause);
    }
}
