package sprucelanding.control.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * The last report of one other governor: the observations of one span of time, in one or more
 * parts, and whether they were applied here.
 */
final class EvidenceSource {
    /**
     * Maximum fraction of endpoints that fail more than half of their attempts. A source above this
     * fraction is unreliable.
     */
    private static final double MAX_FAILING_ENDPOINT_FRACTION = 0.34;

    private static final long NO_SPAN = -1;

    private final int maxEndpoints;
    private final List<EvidenceExchange.EndpointObservation> observations = new ArrayList<>();
    private long generation;
    private long sequence = NO_SPAN;
    private double lastReceivedAt;
    private boolean applied;

    EvidenceSource(int maxEndpoints) {
        this.maxEndpoints = maxEndpoints;
    }

    /** Returns whether the evidence is late or of an earlier generation. */
    boolean isStale(Evidence evidence) {
        return evidence.generation() < generation
                || evidence.generation() == generation && evidence.sequence() < sequence;
    }

    /**
     * Returns whether the evidence, which must not be stale, belongs to a later span than the last
     * known one.
     */
    boolean isOfNewSpan(Evidence evidence) {
        return evidence.generation() > generation || evidence.sequence() > sequence;
    }

    void beginSpan(Evidence evidence) {
        generation = evidence.generation();
        sequence = evidence.sequence();
        observations.clear();
        applied = false;
    }

    /**
     * Adds a part of the current span. The observations of a part are dropped if they would exceed
     * the endpoint limit.
     */
    void addPart(Evidence evidence, double now) {
        lastReceivedAt = now;
        if (observations.size() + evidence.observations().size() <= maxEndpoints) {
            evidence.observations().forEach(each -> observations.add(each.bounded()));
        }
    }

    boolean isEmpty() {
        return observations.isEmpty();
    }

    /** Returns whether the source reported observations that were not yet applied here. */
    boolean isPending() {
        return !applied && !observations.isEmpty();
    }

    void markApplied() {
        applied = true;
    }

    /**
     * Returns whether too many of the source's endpoints fail. A governor that sees many endpoints
     * fail is probably cut off from them itself.
     */
    boolean isUnreliable() {
        long failing =
                observations.stream()
                        .filter(each -> 2 * each.failedAttempts() > each.attempts())
                        .count();
        return failing > MAX_FAILING_ENDPOINT_FRACTION * observations.size();
    }

    List<EvidenceExchange.EndpointObservation> observations() {
        return List.copyOf(observations);
    }

    double lastReceivedAt() {
        return lastReceivedAt;
    }
}
