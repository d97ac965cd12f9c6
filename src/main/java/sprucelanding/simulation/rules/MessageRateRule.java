package sprucelanding.simulation.rules;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/** A governor sends no more than its channel carries, and few messages to each proxy. */
final class MessageRateRule implements Rule {
    /** Entries that would wait in a channel of the stated rate. */
    private static final class ChannelQueue {
        private double entries;
        private double updatedAt;

        ChannelQueue(double createdAt) {
            updatedAt = createdAt;
        }

        /** Adds a message after what the channel has carried since the last one. */
        void add(TraceEvent.MessageSent message, RuleLimits limits) {
            double carried = (message.at() - updatedAt) * limits.entriesPerMilli();
            entries = Math.max(0, entries - carried) + message.entries() + limits.messageOverhead();
            updatedAt = message.at();
        }
    }

    private final RuleLimits limits;
    private final ObservedFleet fleet;
    private final ViolationCounter counter = new ViolationCounter("a short queue");
    private final Map<Integer, ChannelQueue> queuesByGovernor = new HashMap<>();
    private final Map<Integer, ArrayDeque<Double>> messageTimesByProxy = new HashMap<>();

    MessageRateRule(RuleLimits limits, ObservedFleet fleet) {
        this.limits = limits;
        this.fleet = fleet;
    }

    @Override
    public void accept(TraceEvent event) {
        if (event instanceof TraceEvent.ProxyJoined joined) {
            messageTimes(joined.proxy()).clear();
        } else if (event instanceof TraceEvent.ProxyLeft left) {
            messageTimes(left.proxy()).clear();
        } else if (event instanceof TraceEvent.MessageSent message
                && fleet.connection(message.proxy()).isJoinedTo(message.governor())) {
            // messages of a former stream don't count
            checkQueue(message);
            checkRate(message);
        }
    }

    private ArrayDeque<Double> messageTimes(int proxy) {
        return messageTimesByProxy.computeIfAbsent(proxy, key -> new ArrayDeque<>());
    }

    private void checkQueue(TraceEvent.MessageSent message) {
        ChannelQueue queue =
                queuesByGovernor.computeIfAbsent(
                        message.governor(), key -> new ChannelQueue(message.at()));
        queue.add(message, limits);
        counter.recordShare(
                queue.entries / limits.maxQueuedEntries(),
                "at %.3f s %.0f lines would wait in governor %d's channel",
                fleet.seconds(message.at()),
                queue.entries,
                message.governor());
    }

    private void checkRate(TraceEvent.MessageSent message) {
        ArrayDeque<Double> times = messageTimes(message.proxy());
        times.addLast(message.at());
        while (times.peekFirst() < message.at() - limits.messageSpanMillis()) {
            times.pollFirst();
        }
        if (limits.maxMessagesPerSpan() > 0) {
            counter.recordShare(
                    (double) times.size() / limits.maxMessagesPerSpan(),
                    "at %.3f s governor %d had written %d messages to proxy %d within %.0f s",
                    fleet.seconds(message.at()),
                    message.governor(),
                    times.size(),
                    message.proxy(),
                    limits.messageSpanMillis() / 1000);
        }
    }

    @Override
    public Verdict verdict() {
        return counter.verdict();
    }
}
