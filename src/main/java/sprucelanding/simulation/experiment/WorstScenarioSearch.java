package sprucelanding.simulation.experiment;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import sprucelanding.config.records.InvalidRecordsException;
import sprucelanding.simulation.emulator.Emulation;
import sprucelanding.simulation.emulator.RoutingPolicy;
import sprucelanding.simulation.scenario.Scenario;

/**
 * A search for the faults under which one setting loses most service against a reference setting,
 * on the fleet of the first scenario. The search plays randomly drawn faults in the emulator, and
 * reduces the faults with the largest loss.
 */
final class WorstScenarioSearch {
    /** Loss that is added if the setting breaks a rule that the reference setting keeps. */
    private static final double BROKEN_RULE_LOSS = 10;

    /** Faults and the loss of service that the faults cause. */
    private record Candidate(List<Scenario.Fault> faults, double loss) {}

    private final ExperimentInputs inputs;
    private final Experiment.Search search;
    private final String scenarioName;
    private final Scenario scenario;
    private final double durationMillis;

    /**
     * Creates a search.
     *
     * @throws IllegalArgumentException if the experiment has no search
     */
    WorstScenarioSearch(ExperimentInputs inputs) {
        this.inputs = inputs;
        search = inputs.experiment().search();
        if (search == null) {
            throw new IllegalArgumentException("the experiment has no field search");
        }
        scenarioName = inputs.experiment().days().get(0);
        scenario = inputs.scenario(scenarioName);
        durationMillis = inputs.durationMillis(scenario);
    }

    /**
     * Runs the search on several threads.
     *
     * @param progress receives a line for each candidate with a larger loss than the previous ones
     * @return the scenario fields that differ from the first scenario, with the loss in a comment
     */
    String run(int threads, Consumer<String> progress)
            throws InvalidRecordsException, InterruptedException, IOException {
        Candidate worst = worstOf(drawCandidates(), threads, progress);
        List<Scenario.Fault> reduced =
                worst.loss() <= 0
                        ? worst.faults()
                        : FaultSearch.reduce(worst.faults(), worst.loss(), this::uncheckedLoss);
        return describe(worst.faults(), reduced);
    }

    private List<List<Scenario.Fault>> drawCandidates() {
        FaultSearch faultSearch =
                new FaultSearch(search, scenario.zones(), durationMillis, scenario.seed());
        List<List<Scenario.Fault>> candidates = new ArrayList<>();
        for (int i = 0; i < search.tries(); i++) {
            candidates.add(faultSearch.randomFaults());
        }
        return candidates;
    }

    private Candidate worstOf(
            List<List<Scenario.Fault>> candidates, int threads, Consumer<String> progress)
            throws InterruptedException, IOException {
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try {
            List<Future<Double>> losses = new ArrayList<>();
            for (List<Scenario.Fault> candidate : candidates) {
                losses.add(pool.submit(() -> loss(candidate)));
            }
            Candidate worst = new Candidate(List.of(), Double.NEGATIVE_INFINITY);
            for (int i = 0; i < losses.size(); i++) {
                double loss = losses.get(i).get();
                if (loss > worst.loss()) {
                    worst = new Candidate(candidates.get(i), loss);
                    progress.accept(
                            String.format(
                                    Locale.ROOT,
                                    "day %d of %d loses %.4f",
                                    i + 1,
                                    losses.size(),
                                    loss));
                }
            }
            return worst;
        } catch (ExecutionException e) {
            throw new IOException(
                    "playing a scenario failed: " + e.getCause().getMessage(), e.getCause());
        } finally {
            pool.shutdownNow();
        }
    }

    private double uncheckedLoss(List<Scenario.Fault> faults) {
        try {
            return loss(faults);
        } catch (InvalidRecordsException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Plays faults with both settings and returns the loss of the searched setting. */
    private double loss(List<Scenario.Fault> faults) throws InvalidRecordsException {
        Experiment.Setting setting = inputs.experiment().setting(search.setting());
        Experiment.Setting reference = inputs.experiment().setting(search.against());
        Scenario withFaults = scenario.withFaults(faults);
        Emulation.Result result = play(withFaults, setting);
        Emulation.Result referenceResult = play(withFaults, reference);
        boolean breaksRule =
                !result.outcome().kept()
                        && referenceResult.outcome().kept()
                        && setting.routingPolicy() == RoutingPolicy.GOVERNORS;
        return referenceResult.service() - result.service() + (breaksRule ? BROKEN_RULE_LOSS : 0);
    }

    private Emulation.Result play(Scenario withFaults, Experiment.Setting setting)
            throws InvalidRecordsException {
        return Emulation.play(
                withFaults,
                durationMillis,
                Emulation.governorConfigs(withFaults, setting.with(), inputs.overlay(setting)),
                setting.routingPolicy(),
                Emulation.EmulationListener.NONE);
    }

    private String describe(List<Scenario.Fault> worst, List<Scenario.Fault> reduced)
            throws InvalidRecordsException {
        StringBuilder text =
                new StringBuilder(
                        String.format(
                                Locale.ROOT,
                                "// %s against %s on %s: loses %.4f (simulated; %d days "
                                        + "drawn, %d troubles cut to %d)%ntroubles: [%n",
                                search.setting(),
                                search.against(),
                                scenarioName,
                                loss(reduced),
                                search.tries(),
                                worst.size(),
                                reduced.size()));
        for (Scenario.Fault fault : reduced) {
            text.append(
                    String.format(
                            Locale.ROOT,
                            "\t{at: %.0fms, what: \"%s\", part: %.1f%%, size: %.3f, "
                                    + "lasts: %.0fms%s},%n",
                            fault.at(),
                            fault.what(),
                            100 * fault.part(),
                            fault.size(),
                            fault.lasts(),
                            fault.zone() == null ? "" : ", zone: \"" + fault.zone() + "\""));
        }
        return text.append("]\n").toString();
    }
}
