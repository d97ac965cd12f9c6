package sprucelanding.control.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * What one other governor reported last: the observations of one span of time, in one or more
 * parts, and whether they were applied here.
 */
final class EvidenceSource {
    /** Fraction of its endpoints that fail half of their attempts, past which it is doubtful. */
    private static final double DOUBTFUL_ENDPOINT_FRACTION = 0.34;

    private static final long NO_SPAN = -1;

    private final int maxEndpoints;
    private final List<EvidenceExchange.EndpointObservation> observations = new ArrayList<>();
    private long generation;
    private long sequence = NO_SPAN;
    private double lastHeardAt;
    private boolean applied;

    EvidenceSource(int maxEndpoints) {
        this.maxEndpoints = maxEndpoints;
    }

    /** Whether the evidence is late or of an earlier generation. */
    boolean isStale(Evidence evidence) {
        return evidence.generation() < generation
                || evidence.generation() == generation && evidence.sequence() < sequence;
    }

    /** Whether the evidence, which is not stale, is of a later span than what is known. */
    boolean isOfNewSpan(Evidence evidence) {
        return evidence.generation() > generation || evidence.sequence() > sequence;
    }

    void beginSpan(Evidence evidence) {
        generation = evidence.generation();
        sequence = evidence.sequence();
        observations.clear();
        applied = false;
    }

    /** Adds a part of the present span; it is dropped if it would make too many endpoints. */
    void addPart(Evidence evidence, double now) {
        lastHeardAt = now;
        if (observations.size() + evidence.observations().size() <= maxEndpoints) {
            evidence.observations().forEach(each -> observations.add(each.bounded()));
        }
    }

    boolean isEmpty() {
        return observations.isEmpty();
    }

    /** Whether it reported something that was not yet applied here. */
    boolean isPending() {
        return !applied && !observations.isEmpty();
    }

    void markApplied() {
        applied = true;
    }

    /** A governor that sees many endpoints fail is rather cut off from them itself. */
    boolean isDoubtful() {
        long failing =
                observations.stream()
                        .filter(each -> 2 * each.failedAttempts() > each.attempts())
                        .count();
        return failing > DOUBTFUL_ENDPOINT_FRACTION * observations.size();
    }

    List<EvidenceExchange.EndpointObservation> observations() {
        return List.copyOf(observations);
    }

    double lastHeardAt() {
        return lastHeardAt;
    }
}
