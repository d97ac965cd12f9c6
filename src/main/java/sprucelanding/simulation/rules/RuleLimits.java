package sprucelanding.simulation.rules;

import java.util.List;

/**
 * The limits that the rules are checked against. Times are in milliseconds.
 *
 * @param graceMillis time until a proxy must have stopped sending to a removed endpoint
 * @param withoutEntriesMillis time that a proxy may be without a table entry
 * @param coldCapacityShare least share of its capacity that an endpoint has at its start
 * @param warmupMillis time until an endpoint has its full capacity
 * @param overloadFactor multiple of its capacity that overloads an endpoint while it warms up
 * @param overloadWindowMillis span over which the work of a warming endpoint is summed
 * @param maxQueuedEntries entries that may wait in a governor's channel
 * @param entriesPerMilli entries per millisecond that a governor's channel carries
 * @param messageOverhead cost of a message beside its entries, in entries
 * @param maxMessagesPerSpan messages of one governor to one proxy within {@code messageSpanMillis};
 *     0 for no limit
 * @param messageSpanMillis span over which messages are counted
 * @param nonRetryable by request class, whether a request must not be executed twice
 * @param softRemoval whether requests may still be sent to an endpoint that left the list without
 *     draining
 */
public record RuleLimits(
        double graceMillis,
        double withoutEntriesMillis,
        double coldCapacityShare,
        double warmupMillis,
        double overloadFactor,
        double overloadWindowMillis,
        int maxQueuedEntries,
        double entriesPerMilli,
        double messageOverhead,
        int maxMessagesPerSpan,
        double messageSpanMillis,
        List<Boolean> nonRetryable,
        boolean softRemoval) {}
