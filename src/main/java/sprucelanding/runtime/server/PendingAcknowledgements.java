package sprucelanding.runtime.server;

import java.util.ArrayDeque;
import sprucelanding.control.distribution.ProxyUpdate;
import sprucelanding.control.settings.MalformedInputException;

/** What a stream was asked to acknowledge and has not, oldest first. Event loop's thread only. */
final class PendingAcknowledgements {
    /** How many are kept; the oldest are given up past that. */
    private static final int MAX_PENDING = 64;

    private final ArrayDeque<Integer> pendingIds = new ArrayDeque<>(4);

    /** When the oldest was asked for, loop's ms; it moves on with each that comes. */
    private double requestedAtMillis;

    /** An acknowledgement is asked for, if the id says so. */
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
     * An acknowledgement came; it settles those before it as well.
     *
     * @throws MalformedInputException if it was not asked for on this stream
     */
    void settle(int acknowledgementId, double nowMillis) {
        if (!pendingIds.contains(acknowledgementId)) {
            throw new MalformedInputException("version was not asked for on this stream");
        }
        while (pendingIds.poll() != acknowledgementId) {
            continue;
        }
        requestedAtMillis = nowMillis;
    }

    /** Since when an acknowledgement is owed, loop's ms; infinite if none is. */
    double owedSinceMillis() {
        return pendingIds.isEmpty() ? Double.POSITIVE_INFINITY : requestedAtMillis;
    }
}
