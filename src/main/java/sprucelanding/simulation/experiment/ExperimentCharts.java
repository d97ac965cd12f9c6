package sprucelanding.simulation.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import sprucelanding.simulation.scenario.Scenario;

/**
 * The charts of an experiment. The charts of a scenario show the service of all settings at the
 * first seed, and the samples of the first setting that has a result.
 */
final class ExperimentCharts {
    private static final String SCENARIO_SUFFIX = "\\.cue$";

    /** Column of the first zone's load in a sample; column 0 is the time. */
    private static final int FIRST_LOAD_COLUMN = 1;

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
            List<JsonNode> trialResults = new ArrayList<>();
            for (Trial trial : trials) {
                if (trial.scenarioName().equals(scenarioName)
                        && trial.seed() == firstSeed
                        && results.has(trial.key())) {
                    trialResults.add(results.get(trial.key()));
                }
            }
            if (!trialResults.isEmpty()) {
                draw(scenarioName, trialResults);
            }
        }
    }

    private void draw(String scenarioName, List<JsonNode> trialResults) throws IOException {
        Scenario scenario = inputs.scenario(scenarioName);
        String name = String.valueOf(Path.of(scenarioName).getFileName());
        SampleCharts samples =
                new SampleCharts(folder, name.replaceAll(SCENARIO_SUFFIX, ""), trialResults.get(0));
        List<String> zones = scenario.zones();
        List<String> requestClasses =
                scenario.products().stream().map(Scenario.RequestClassSettings::name).toList();
        int firstLevelColumn = FIRST_LOAD_COLUMN + zones.size();
        int latencyColumn = firstLevelColumn + requestClasses.size();
        Charts.drawService(folder, samples.name(), trialResults);
        samples.draw("load", "load by zone", "share of busy cores", zones, FIRST_LOAD_COLUMN);
        samples.draw("levels", "levels", "share let in", requestClasses, firstLevelColumn);
        samples.draw(
                "orders",
                "orders' latency",
                "ms, the longest of a second",
                List.of("in force"),
                latencyColumn);
    }

    /** The sample charts of one trial. */
    private record SampleCharts(Path folder, String name, JsonNode trial) {
        void draw(String suffix, String title, String axis, List<String> columns, int firstColumn)
                throws IOException {
            Charts.drawSamples(
                    folder, name + "-" + suffix, title, axis, trial, columns, firstColumn);
        }
    }
}
