package sprucelanding.front.netconf;

import java.util.Optional;
import sprucelanding.front.xml.XmlElement;

/**
 * The first error of a reply (RFC 6241, section 4.3).
 *
 * @param tag the kind of error
 * @param message a text for people; empty if there is none
 * @param path the element that it is about; empty if there is none
 */
record RpcError(String tag, String message, String path) {
    private static final String LOCK_DENIED = "lock-denied";

    /** The error of a reply; empty if it has none. */
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

    /** Whether another session holds the lock. */
    boolean isLockDenied() {
        return tag.equals(LOCK_DENIED);
    }

    String describe() {
        return tag + " " + message + (path.isEmpty() ? "" : " at " + path);
    }
}
