package sprucelanding.simulation.rules;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * The rule that limits what a governor sends: the entries that would wait in its channel, and the
 * messages to one proxy within a time span.
 */
final class MessageRateRule implements Rule {
    /** The number of entries that would wait in a channel of the configured rate. */
    private static final class ChannelQueue {
        private double waitingEntries;
        private double lastMessageAt;

        ChannelQueue(double createdAt) {
            lastMessageAt = createdAt;
        }

        /**
         * Subtracts the entries that the channel has carried since the last message. Then adds the
         * entries and the overhead of the given message.
         */
        void add(TraceEvent.MessageRead message, RuleLimits limits) {
            double carriedEntries = (message.at() - lastMessageAt) * limits.entriesPerMilli();
            waitingEntries =
                    Math.max(0, waitingEntries - carriedEntries)
                            + message.entries()
                            + limits.messageOverhead();
            lastMessageAt = message.at();
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
        } else if (event instanceof TraceEvent.MessageRead message
                && fleet.connection(message.proxy()).isJoinedTo(message.governor())) {
            // messages of a stream that the proxy has replaced are not counted
            checkQueue(message);
            checkRate(message);
        }
    }

    private ArrayDeque<Double> messageTimes(int proxy) {
        return messageTimesByProxy.computeIfAbsent(proxy, key -> new ArrayDeque<>());
    }

    private void checkQueue(TraceEvent.MessageRead message) {
        ChannelQueue queue =
                queuesByGovernor.computeIfAbsent(
                        message.governor(), key -> new ChannelQueue(message.at()));
        queue.add(message, limits);
        counter.recordShare(
                queue.waitingEntries / limits.maxQueuedEntries(),
                "at %.3f s %.0f lines would wait in governor %d's channel",
                fleet.seconds(message.at()),
                queue.waitingEntries,
                message.governor());
    }

    private void checkRate(TraceEvent.MessageRead message) {
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
