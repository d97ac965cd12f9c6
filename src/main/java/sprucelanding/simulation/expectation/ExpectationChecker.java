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
 * Checks each expectation on all endpoints, zones or pairs of them that its events can affect, and
 * searches sequences of failures that no expectation names. A failing sequence is reduced to the
 * events that it needs to fail. Sequences run on the common thread pool.
 */
public final class ExpectationChecker {
    /**
     * The outcome of a check.
     *
     * @param failed failures by the name of the expectation, with the sequence of events
     * @param contradictions pairs of expectations that contradict each other
     * @param neverApplied names of expectations whose events affected nothing
     * @param stories number of sequences that were played
     * @param bugs number of decisions that threw an exception
     */
    public record CheckReport(
            Map<String, String> failed,
            List<String> contradictions,
            List<String> neverApplied,
            long stories,
            int bugs) {
        /** Returns whether all expectations applied and held, without contradictions. */
        public boolean passed() {
            return failed.isEmpty()
                    && contradictions.isEmpty()
                    && neverApplied.isEmpty()
                    && bugs == 0;
        }
    }

    private static final int MAX_EVENTS = 4;

    private final Scenario scenario;
    private final SequenceGenerator generator;
    private final SequenceRunner runner;

    /**
     * Creates a checker.
     *
     * @param scenario fleet and request classes; its faults aren't used
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
     * @throws IllegalArgumentException with the field, if one names what the scenario doesn't have
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
                    field + ".product: \"" + expectation.product() + "\" is no product of the day");
        }
        if (expectation.zone() != null && !scenario.zones().contains(expectation.zone())) {
            throw new IllegalArgumentException(
                    field + ".zone: \"" + expectation.zone() + "\" is none of " + scenario.zones());
        }
        if (expectation.events().size() > MAX_EVENTS) {
            throw new IllegalArgumentException(field + ".events: more than " + MAX_EVENTS);
        }
    }

    /** Checks one expectation and returns whether it ever applied. */
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

    /** Plays sequences of failures against the conditions that any fleet should keep. */
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
