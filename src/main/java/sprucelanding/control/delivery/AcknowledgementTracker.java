package sprucelanding.control.delivery;

import java.util.Optional;

/**
 * Tracker of unanswered updates and requested acknowledgements of all proxies.
 *
 * <p>An order is settled at a proxy when the proxy has accepted or rejected it. Once all orders
 * that an acknowledgement request covers are settled at a proxy, the tracker reports the
 * acknowledgement to the controller. Sizes are in entries.
 */
final class AcknowledgementTracker {
    private final DeferredActions actions;
    private int unansweredEntries;
    private int maxUnansweredEntries;

    AcknowledgementTracker(DeferredActions actions) {
        this.actions = actions;
    }

    /** Records that an update was sent. */
    void updateSent(ProxyStream stream, ResourceUpdate update) {
        stream.unanswered().add(update);
        unansweredEntries += update.entryCount();
        maxUnansweredEntries = Math.max(maxUnansweredEntries, unansweredEntries);
    }

    /**
     * Removes and returns the update that an answer is for; empty if the update is unknown or was
     * already answered, or if the stream is closed.
     */
    Optional<ResourceUpdate> takeAnswered(ProxyStream stream, long updateId) {
        if (stream.isClosed()) {
            return Optional.empty();
        }
        Optional<ResourceUpdate> update = stream.unanswered().take(updateId);
        if (update.isPresent()) {
            unansweredEntries -= update.get().entryCount();
            stream.answerReceived();
        }
        return update;
    }

    /** Stops counting the unanswered updates of a closed stream, which will never be answered. */
    void streamClosed(ProxyStream stream) {
        unansweredEntries -= stream.unanswered().entryCount();
    }

    /** Reports the acknowledgements whose orders are all settled on a stream. */
    void reportSettled(ProxyStream stream) {
        if (!stream.awaitsAcknowledgement()) {
            return;
        }
        long oldestUnsettled = stream.oldestUnsettledOrder();
        AcknowledgementRequest settled = stream.pollSettledRequest(oldestUnsettled);
        while (settled != null) {
            int serial = settled.serial();
            actions.add(host -> host.acknowledged(stream, serial));
            settled = stream.pollSettledRequest(oldestUnsettled);
        }
    }

    /** Returns the number of entries that have been sent and not answered, over all proxies. */
    int unansweredEntries() {
        return unansweredEntries;
    }

    /**
     * Returns the maximum number of entries that were unanswered at the same time since the last
     * call.
     */
    int takeMaxUnansweredEntries() {
        int maximum = maxUnansweredEntries;
        maxUnansweredEntries = unansweredEntries;
        return maximum;
    }
}
