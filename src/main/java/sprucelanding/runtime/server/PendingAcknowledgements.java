package sprucelanding.runtime.server;

import java.util.ArrayDeque;
import sprucelanding.control.distribution.ProxyUpdate;
import sprucelanding.control.settings.MalformedInputException;

/**
 * The acknowledgements that were requested on a stream and have not arrived, oldest first. The
 * object is used on the event loop's thread only.
 */
final class PendingAcknowledgements {
    /** Maximum number of pending requests; beyond it, the oldest request is dropped. */
    private static final int MAX_PENDING = 64;

    private final ArrayDeque<Integer> pendingIds = new ArrayDeque<>(4);

    /**
     * When the wait for the next acknowledgement began, ms of the event loop's clock: when the
     * first one was requested or, later, when the last one arrived.
     */
    private double requestedAtMillis;

    /**
     * Adds a requested acknowledgement. Does nothing if the id is {@link
     * ProxyUpdate#NO_ACKNOWLEDGEMENT}.
     */
    void request(int acknowledgementId, double nowMillis) {
        if (acknowledgementId <= ProxyUpdate.NO_ACKNOWLEDGEMENT) {
            return;
        }
        if (pendingIds.isEmpty()) {
            requestedAtMillis = nowMillis;
        }
        pendingIds.add(acknowledgementId);
        if (pendingIds.size() > MAX_PENDING) {
            pendingIds.poll();
        }
    }

    /**
     * Removes an acknowledgement that has arrived, and all requested before it.
     *
     * @throws MalformedInputException if the acknowledgement is not pending on this stream
     */
    void acknowledge(int acknowledgementId, double nowMillis) {
        if (!pendingIds.contains(acknowledgementId)) {
            throw new MalformedInputException(
                    "version was not requested on this stream or is not pending: "
                            + acknowledgementId);
        }
        while (pendingIds.poll() != acknowledgementId) {
            continue;
        }
        requestedAtMillis = nowMillis;
    }

    /**
     * Returns the time since which an acknowledgement is pending, in ms of the event loop's clock;
     * infinite if none is pending.
     */
    double pendingSinceMillis() {
        return pendingIds.isEmpty() ? Double.POSITIVE_INFINITY : requestedAtMillis;
    }
}
