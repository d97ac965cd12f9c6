package sprucelanding.simulation.expectation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import sprucelanding.simulation.expectation.Expectations.Expectation;

/**
 * A finder of contradictory expectations. Two expectations contradict each other if their bounds on
 * the same subject are disjoint. Two expectations on the same events also contradict each other if
 * each of them failed in every sequence in which the other held.
 */
final class ContradictionFinder {
    /** Sequences in which an expectation held, by the name of the expectation. */
    private final Map<String, Set<String>> sequencesHeld = new HashMap<>();

    /** Sequences in which an expectation failed, by the name of the expectation. */
    private final Map<String, Set<String>> sequencesFailed = new HashMap<>();

    /** Adds the result of an expectation in a sequence. */
    void add(Expectation expectation, EventSequence sequence, CheckResult result) {
        if (result.isApplicable()) {
            Map<String, Set<String>> sequences =
                    result.hasFailed() ? sequencesFailed : sequencesHeld;
            sequences
                    .computeIfAbsent(expectation.name(), key -> new HashSet<>())
                    .add(sequence.describe());
        }
    }

    /** Returns a line for each pair of contradictory expectations. */
    List<String> contradictions(List<Expectation> expectations) {
        List<String> lines = new ArrayList<>();
        for (int i = 0; i < expectations.size(); i++) {
            for (int j = i + 1; j < expectations.size(); j++) {
                Expectation first = expectations.get(i);
                Expectation second = expectations.get(j);
                contradiction(first, second)
                        .ifPresent(reason -> lines.add(names(first, second) + reason));
            }
        }
        return lines;
    }

    private static String names(Expectation first, Expectation second) {
        return "\"" + first.name() + "\" and \"" + second.name() + "\": ";
    }

    private Optional<String> contradiction(Expectation first, Expectation second) {
        if (haveSameSubject(first, second) && haveDisjointBounds(first, second)) {
            return Optional.of(
                    "at least "
                            + Math.max(first.atLeast(), second.atLeast())
                            + " and at most "
                            + Math.min(first.atMost(), second.atMost())
                            + " of the same");
        }
        if (first.events().equals(second.events())
                && failedWhereverHeld(first, second)
                && failedWhereverHeld(second, first)) {
            return Optional.of("wherever one held the other failed");
        }
        return Optional.empty();
    }

    private static boolean haveSameSubject(Expectation first, Expectation second) {
        boolean sameRequestClass =
                first.product() == null
                        || second.product() == null
                        || first.product().equals(second.product());
        return sameRequestClass
                && first.expect().equals(second.expect())
                && Objects.equals(first.zone(), second.zone())
                && first.events().equals(second.events());
    }

    private static boolean haveDisjointBounds(Expectation first, Expectation second) {
        return first.atLeast() > second.atMost() || second.atLeast() > first.atMost();
    }

    private boolean failedWhereverHeld(Expectation failing, Expectation holding) {
        Set<String> held = sequencesHeld.getOrDefault(holding.name(), Set.of());
        Set<String> failed = sequencesFailed.getOrDefault(failing.name(), Set.of());
        return !held.isEmpty() && failed.containsAll(held);
    }
}
