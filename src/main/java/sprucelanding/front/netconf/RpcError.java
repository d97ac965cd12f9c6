package sprucelanding.front.netconf;

import java.util.Optional;
import sprucelanding.front.xml.XmlElement;

/**
 * The first error of a reply (RFC 6241, section 4.3).
 *
 * @param tag the kind of error
 * @param message a description for humans; empty if there is none
 * @param path the element that the error is about; empty if there is none
 */
record RpcError(String tag, String message, String path) {
    private static final String LOCK_DENIED = "lock-denied";

    /** Returns the first error of a reply; empty if the reply has none. */
    static Optional<RpcError> of(XmlElement reply) {
        XmlElement error = reply.child("rpc-error");
        if (error == null) {
            return Optional.empty();
        }
        return Optional.of(
                new RpcError(
                        error.text("error-tag"),
                        error.text("error-message"),
                        error.text("error-path")));
    }

    /** Returns whether another session holds the lock. */
    boolean isLockDenied() {
        return tag.equals(LOCK_DENIED);
    }

    /** Returns the error's tag, message and path as one text. */
    String describe() {
        return tag + " " + message + (path.isEmpty() ? "" : " at " + path);
    }
}
