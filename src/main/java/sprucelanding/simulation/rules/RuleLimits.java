package sprucelanding.simulation.rules;

import java.util.List;

/**
 * The limits that the rules are checked against. Times are in milliseconds.
 *
 * @param graceMillis longest time for which a proxy may send to a removed endpoint
 * @param withoutEntriesMillis longest time for which a proxy may have no table entry
 * @param coldCapacityShare share of an endpoint's full capacity that it has at its start
 * @param warmupMillis time from the start of an endpoint until it has its full capacity
 * @param overloadFactor multiple of a warming endpoint's current capacity above which the endpoint
 *     is overloaded
 * @param overloadWindowMillis time span over which the work of a warming endpoint is summed
 * @param maxQueuedEntries maximum number of entries that wait in a governor's channel
 * @param entriesPerMilli entries per millisecond that a governor's channel carries
 * @param messageOverhead cost of a message in addition to its entries, in entries
 * @param maxMessagesPerSpan maximum number of messages of one governor to one proxy within {@code
 *     messageSpanMillis}; 0 for no limit
 * @param messageSpanMillis time span over which messages are counted
 * @param nonRetryable for each request class, whether a request must not be executed twice
 * @param softRemoval whether requests may still be sent to an endpoint that disappeared from the
 *     endpoint list without draining
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
