package sprucelanding.simulation.rules;

import java.util.List;

/**
 * The figures of the rules.
 *
 * @param grace ms until a proxy must have stopped sending
 * @param bare ms that a proxy may be without a line
 * @param coldFrom share of its capacity at which a replica starts at least
 * @param warmAfter ms until it is warm
 * @param tip multiple of what it can do that pushes a cold one over, if brought for fall ms
 * @param lines that may wait in a governor's channel
 * @param pace lines a ms that the channel is stated to carry
 * @param head lines that a message costs beside its own
 * @param messages of one governor to one proxy within span ms; 0: no limit
 * @param onceOnly by product, whether an effect must not happen twice
 * @param softRemoval a replica that left the list without draining may still be sent to
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
