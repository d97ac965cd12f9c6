package sprucelanding.control.delivery;

import java.util.Optional;

/**
 * Tracks which responses are unanswered at all proxies, and reports to the controller once all
 * orders that an acknowledgement was requested for are settled at a proxy.
 */
final class AcknowledgementTracker {
    private final DeferredActions actions;
    private int unansweredEntries;
    private int maxUnansweredEntries;

    AcknowledgementTracker(DeferredActions actions) {
        this.actions = actions;
    }

    void sent(ProxyStream stream, ResourceUpdate update) {
        stream.unanswered().add(update);
        unansweredEntries += update.entryCount();
        maxUnansweredEntries = Math.max(maxUnansweredEntries, unansweredEntries);
    }

    /**
     * Takes out the response that an answer is for; empty if it is not, or no longer, under way.
     */
    Optional<ResourceUpdate> takeAnswered(ProxyStream stream, long updateId) {
        if (stream.isClosed()) {
            return Optional.empty();
        }
        Optional<ResourceUpdate> update = stream.unanswered().take(updateId);
        if (update.isPresent()) {
            unansweredEntries -= update.get().entryCount();
            stream.answered();
        }
        return update;
    }

    /** What is under way on the stream will not be answered any more. */
    void streamClosed(ProxyStream stream) {
        unansweredEntries -= stream.unanswered().entryCount();
    }

    /** Reports the acknowledgements that are due on a stream. */
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

    /** Entries sent and not answered, at all proxies. */
    int unansweredEntries() {
        return unansweredEntries;
    }

    /** The most entries that were unanswered at a time since this was last called. */
    int takeMaxUnansweredEntries() {
        int maximum = maxUnansweredEntries;
        maxUnansweredEntries = unansweredEntries;
        return maximum;
    }
}
