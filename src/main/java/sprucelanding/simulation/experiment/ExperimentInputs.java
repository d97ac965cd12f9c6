package sprucelanding.simulation.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sprucelanding.config.records.InvalidRecordsException;
import sprucelanding.config.records.Records;
import sprucelanding.simulation.emulator.Emulation;
import sprucelanding.simulation.scenario.Scenario;

/** An experiment with the contents of all files that the experiment names, after validation. */
final class ExperimentInputs {
    private static final List<Long> DEFAULT_SEEDS = List.of(1L);

    private final Experiment experiment;
    private final Map<String, String> scenarioTexts = new LinkedHashMap<>();
    private final Map<String, Scenario> scenarios = new LinkedHashMap<>();
    private final Map<String, String> overlays = new LinkedHashMap<>();

    private ExperimentInputs(Experiment experiment) {
        this.experiment = experiment;
    }

    /**
     * Reads an experiment and the files that the experiment names, relative to its folder.
     *
     * @throws InvalidRecordsException with the file and its errors
     */
    static ExperimentInputs read(Path file) throws InvalidRecordsException, IOException {
        Experiment experiment =
                Records.read(file, Experiment.SCHEMA, Experiment.DEFINITION, Experiment.class);
        experiment.check();
        Path folder = file.toAbsolutePath().getParent();
        ExperimentInputs inputs = new ExperimentInputs(experiment);
        for (String scenarioName : experiment.days()) {
            inputs.readScenario(scenarioName, folder.resolve(scenarioName));
        }
        for (Experiment.Setting setting : experiment.settings()) {
            if (setting.with() != null) {
                inputs.readOverlay(setting, folder.resolve(setting.with()));
            }
        }
        return inputs;
    }

    private void readScenario(String name, Path file) throws InvalidRecordsException, IOException {
        scenarioTexts.put(name, Files.readString(file));
        Scenario scenario = Scenario.read(file);
        scenario.check();
        scenarios.put(name, scenario);
    }

    private void readOverlay(Experiment.Setting setting, Path file)
            throws InvalidRecordsException, IOException {
        String overlay = Files.readString(file);
        overlays.put(setting.name(), overlay);
        Scenario firstScenario = scenarios.values().iterator().next();
        Emulation.governorConfigs(firstScenario, setting.with(), overlay); // only to validate
    }

    Experiment experiment() {
        return experiment;
    }

    Scenario scenario(String name) {
        return scenarios.get(name);
    }

    /** Returns the text of a setting's overlay; null if the setting has no overlay. */
    String overlay(Experiment.Setting setting) {
        return overlays.get(setting.name());
    }

    /** Returns the duration for which a scenario is played, in milliseconds. */
    double durationMillis(Scenario scenario) {
        return experiment.seconds() > 0
                ? Math.min(experiment.seconds(), scenario.lasts())
                : scenario.lasts();
    }

    /** Returns all trials, ordered by scenario, then by seed, then by setting. */
    List<Trial> trials() {
        List<Trial> trials = new ArrayList<>();
        List<Long> seeds = experiment.seeds().isEmpty() ? DEFAULT_SEEDS : experiment.seeds();
        for (String scenarioName : experiment.days()) {
            for (long seed : seeds) {
                for (Experiment.Setting setting : experiment.settings()) {
                    trials.add(trial(scenarioName, setting, seed));
                }
            }
        }
        return trials;
    }

    private Trial trial(String scenarioName, Experiment.Setting setting, long seed) {
        Scenario scenario = scenarios.get(scenarioName);
        return new Trial(
                scenarioName,
                scenarioTexts.get(scenarioName),
                scenario,
                setting.name(),
                setting.with(),
                overlay(setting),
                setting.routingPolicy(),
                seed,
                durationMillis(scenario));
    }
}
