package sprucelanding.control.delivery;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;

/**
 * Planner that picks the next update: the stream, within the limits of the channel and of the
 * stream, and the type of resource.
 *
 * <p>A stream that takes updates type by type has at most one unanswered update per type, and one
 * more for urgent entry updates.
 */
final class UpdatePlanner {
    private static final List<ResourceType> URGENT_TYPES =
            List.of(ResourceType.LINE, ResourceType.ENDPOINTS);
    private static final List<ResourceType> ALL_TYPES = List.of(ResourceType.values());
    private static final int MAX_UNANSWERED_URGENT = 2;
    private static final int MAX_UNANSWERED_ORDINARY = 1;

    private final SendQueue queue;
    private final ChannelModel channel;
    private final MessageRateLimit rateLimit;
    private final DesiredState desiredState;
    private final UpdateBuilder builder;
    private final AcknowledgementTracker acknowledgements;

    UpdatePlanner(
            SendQueue queue,
            ChannelModel channel,
            MessageRateLimit rateLimit,
            DesiredState desiredState,
            UpdateBuilder builder,
            AcknowledgementTracker acknowledgements) {
        this.queue = queue;
        this.channel = channel;
        this.rateLimit = rateLimit;
        this.desiredState = desiredState;
        this.builder = builder;
        this.acknowledgements = acknowledgements;
    }

    /**
     * Returns the next update of this urgency and records it as sent; empty if none may be sent
     * now.
     */
    Optional<ResourceUpdate> next(Urgency urgency, double now) {
        LinkedHashSet<ProxyStream> streams = queue.streams(urgency);
        while (!streams.isEmpty()) {
            ProxyStream stream = streams.iterator().next();
            if (!channel.permits(() -> desiredState.pendingEntries(stream), urgency)) {
                return Optional.empty(); // checked again once the queue has drained
            }
            Optional<ResourceUpdate> update =
                    stream.isAdmitted() ? nextForStream(stream, now) : Optional.empty();
            if (update.isPresent()) {
                return update;
            }
            streams.remove(stream);
        }
        return Optional.empty();
    }

    private Optional<ResourceUpdate> nextForStream(ProxyStream stream, double now) {
        Urgency urgency = stream.isUrgent() ? Urgency.URGENT : Urgency.ORDINARY;
        if (!rateLimit.permits(stream.messageWindow(), urgency, now)) {
            queue.addRateLimited(stream);
            return Optional.empty();
        }
        return stream.isTransactional()
                ? nextTransaction(stream, now)
                : nextByType(stream, urgency, now);
    }

    private Optional<ResourceUpdate> nextTransaction(ProxyStream stream, double now) {
        if (!stream.unanswered().isEmpty()) {
            return Optional.empty(); // an urgent stream stays urgent until the answer has arrived
        }
        Optional<ResourceUpdate> update = builder.buildTransaction(stream, now);
        stream.clearUrgent();
        return recordSent(stream, update, now);
    }

    private Optional<ResourceUpdate> nextByType(ProxyStream stream, Urgency urgency, double now) {
        boolean urgent = urgency == Urgency.URGENT;
        int maxUnanswered = urgent ? MAX_UNANSWERED_URGENT : MAX_UNANSWERED_ORDINARY;
        for (ResourceType type : urgent ? URGENT_TYPES : ALL_TYPES) {
            if (stream.pending().ofType(type).isEmpty()
                    || stream.unanswered().countOfType(type) >= maxUnanswered) {
                continue;
            }
            Optional<ResourceUpdate> update = builder.build(stream, type, now);
            if (update.isPresent()) {
                if (URGENT_TYPES.contains(type)) {
                    stream.clearUrgent();
                }
                return recordSent(stream, update, now);
            }
            acknowledgements.reportSettled(stream);
        }
        stream.clearUrgent();
        if (urgent) {
            queue.addReady(stream);
        }
        return Optional.empty();
    }

    /**
     * Records an update as sent. If there is none to send, reports the acknowledgements that are
     * due instead.
     */
    private Optional<ResourceUpdate> recordSent(
            ProxyStream stream, Optional<ResourceUpdate> update, double now) {
        if (update.isEmpty()) {
            acknowledgements.reportSettled(stream);
            return update;
        }
        acknowledgements.updateSent(stream, update.get());
        stream.messageWindow().add(now);
        channel.messageSent(update.get().entryCount());
        return update;
    }
}
