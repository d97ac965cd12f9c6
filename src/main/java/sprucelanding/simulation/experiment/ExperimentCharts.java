package sprucelanding.simulation.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import sprucelanding.simulation.scenario.Scenario;

/**
 * Draws the charts of each scenario of an experiment: the service of all settings at the first
 * seed, and the samples of the first of them.
 */
final class ExperimentCharts {
    private static final String SCENARIO_SUFFIX = "\\.cue$";

    /** Column of the first zone's load in a sample, after the time. */
    private static final int FIRST_COLUMN = 1;

    private final ExperimentInputs inputs;
    private final ResultStore results;
    private final Path folder;

    ExperimentCharts(ExperimentInputs inputs, ResultStore results, Path folder) {
        this.inputs = inputs;
        this.results = results;
        this.folder = folder;
    }

    void draw() throws IOException {
        Files.createDirectories(folder);
        List<Trial> trials = inputs.trials();
        long firstSeed = trials.get(0).seed();
        for (String scenarioName : inputs.experiment().days()) {
            List<JsonNode> values = new ArrayList<>();
            for (Trial trial : trials) {
                if (trial.scenarioName().equals(scenarioName)
                        && trial.seed() == firstSeed
                        && results.has(trial.key())) {
                    values.add(results.get(trial.key()));
                }
            }
            if (!values.isEmpty()) {
                draw(scenarioName, values);
            }
        }
    }

    private void draw(String scenarioName, List<JsonNode> values) throws IOException {
        Scenario scenario = inputs.scenario(scenarioName);
        String name = String.valueOf(Path.of(scenarioName).getFileName());
        SampleCharts samples =
                new SampleCharts(folder, name.replaceAll(SCENARIO_SUFFIX, ""), values.get(0));
        List<String> zones = scenario.zones();
        List<String> requestClasses =
                scenario.products().stream().map(Scenario.RequestClassSettings::name).toList();
        int firstLevel = FIRST_COLUMN + zones.size();
        int latency = firstLevel + requestClasses.size();
        Charts.service(folder, samples.name(), values);
        samples.draw("load", "load by zone", "share of busy cores", zones, FIRST_COLUMN);
        samples.draw("levels", "levels", "share let in", requestClasses, firstLevel);
        samples.draw(
                "orders",
                "orders' latency",
                "ms, the longest of a second",
                List.of("in force"),
                latency);
    }

    /** Draws columns of one trial's samples. */
    private record SampleCharts(Path folder, String name, JsonNode trial) {
        void draw(String suffix, String title, String axis, List<String> columns, int from)
                throws IOException {
            Charts.samples(folder, name + "-" + suffix, title, axis, trial, columns, from);
        }
    }
}
