package sprucelanding.simulation.expectation;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import sprucelanding.config.governor.GovernorConfig;
import sprucelanding.simulation.expectation.Expectations.Expectation;
import sprucelanding.simulation.scenario.Scenario;

/**
 * A checker of expectations. The checker checks each expectation for all combinations of endpoints
 * and zones that its events can affect. The checker also searches for failures in sequences of
 * events that no expectation states. A failing sequence is reduced to the events that are necessary
 * for the failure. Sequences run on the common thread pool.
 */
public final class ExpectationChecker {
    /**
     * The report of a check.
     *
     * @param failed failures with their sequences of events, by the name of the expectation
     * @param contradictions descriptions of the pairs of contradictory expectations
     * @param neverApplied names of the expectations that applied to nothing
     * @param sequences number of sequences that were played
     * @param internalErrors number of decisions that threw an exception
     */
    public record CheckReport(
            Map<String, String> failed,
            List<String> contradictions,
            List<String> neverApplied,
            long sequences,
            int internalErrors) {
        /**
         * Returns whether all expectations applied and held without contradictions, and no decision
         * threw an exception.
         */
        public boolean passed() {
            return failed.isEmpty()
                    && contradictions.isEmpty()
                    && neverApplied.isEmpty()
                    && internalErrors == 0;
        }
    }

    private static final int MAX_EVENTS = 4;

    private final Scenario scenario;
    private final SequenceGenerator generator;
    private final SequenceRunner runner;

    /**
     * Creates a checker.
     *
     * @param scenario fleet and request classes; the faults of the scenario are not used
     * @param config configuration of the governor
     */
    public ExpectationChecker(Scenario scenario, GovernorConfig config) {
        this.scenario = scenario;
        generator = new SequenceGenerator(scenario);
        runner = new SequenceRunner(scenario, config);
    }

    /**
     * Checks expectations.
     *
     * @throws IllegalArgumentException with the field, if an expectation names a request class or a
     *     zone that the scenario does not have, or has too many events
     */
    public CheckReport check(Expectations expectations) {
        Map<String, String> failed = new LinkedHashMap<>();
        List<String> neverApplied = new ArrayList<>();
        ContradictionFinder contradictions = new ContradictionFinder();
        for (int i = 0; i < expectations.expectations().size(); i++) {
            Expectation expectation = expectations.expectations().get(i);
            checkNames(expectation, "expectations[" + i + "]");
            if (!check(expectation, failed, contradictions)) {
                neverApplied.add(expectation.name());
            }
        }
        if (expectations.search() != null) {
            search(expectations, failed);
        }
        return new CheckReport(
                failed,
                contradictions.contradictions(expectations.expectations()),
                neverApplied,
                runner.runs(),
                runner.internalErrors());
    }

    private void checkNames(Expectation expectation, String field) {
        if (expectation.product() != null
                && scenario.products().stream()
                        .noneMatch(
                                requestClass ->
                                        requestClass.name().equals(expectation.product()))) {
            throw new IllegalArgumentException(
                    field
                            + ".product: expected a request class of the scenario, got \""
                            + expectation.product()
                            + "\"");
        }
        if (expectation.zone() != null && !scenario.zones().contains(expectation.zone())) {
            throw new IllegalArgumentException(
                    field
                            + ".zone: expected one of "
                            + scenario.zones()
                            + ", got \""
                            + expectation.zone()
                            + "\"");
        }
        if (expectation.events().size() > MAX_EVENTS) {
            throw new IllegalArgumentException(
                    field
                            + ".events: expected at most "
                            + MAX_EVENTS
                            + " events, got "
                            + expectation.events().size());
        }
    }

    /** Checks one expectation and returns whether the expectation applied in any sequence. */
    private boolean check(
            Expectation expectation,
            Map<String, String> failed,
            ContradictionFinder contradictions) {
        List<EventSequence> sequences = generator.sequencesOf(expectation.events());
        List<CheckResult> results =
                sequences.parallelStream()
                        .map(sequence -> runner.run(expectation, sequence))
                        .toList();
        boolean applied = false;
        for (int i = 0; i < sequences.size(); i++) {
            EventSequence sequence = sequences.get(i);
            CheckResult result = results.get(i);
            applied |= result.isApplicable();
            contradictions.add(expectation, sequence, result);
            if (result.hasFailed() && !failed.containsKey(expectation.name())) {
                EventSequence reduced = runner.reduce(expectation, sequence);
                failed.put(expectation.name(), result.failure() + "; story: " + reduced.describe());
            }
        }
        return applied;
    }

    /** Searches for sequences in which the general conditions of the expectations fail. */
    private void search(Expectations expectations, Map<String, String> failed) {
        Expectations.Search search = expectations.search();
        List<EventSequence> sequences = generator.sequencesOf(search);
        Collections.shuffle(sequences, new Random(scenario.seed()));
        List<EventSequence> chosen =
                sequences.subList(0, Math.min(sequences.size(), search.most()));
        for (Expectation expectation : expectations.expectations()) {
            if (Condition.of(expectation).isGeneral() && !failed.containsKey(expectation.name())) {
                chosen.parallelStream()
                        .filter(sequence -> runner.run(expectation, sequence).hasFailed())
                        .findFirst()
                        .ifPresent(
                                sequence ->
                                        failed.put(
                                                expectation.name(),
                                                describeFound(expectation, sequence)));
            }
        }
    }

    private String describeFound(Expectation expectation, EventSequence sequence) {
        EventSequence reduced = runner.reduce(expectation, sequence);
        String failure = runner.run(expectation, reduced).failure();
        return failure + "; story found: " + reduced.describe();
    }
}
