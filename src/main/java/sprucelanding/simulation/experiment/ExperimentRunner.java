package sprucelanding.simulation.experiment;

import java.io.IOException;
import java.nio.file.Path;
import java.util.function.Consumer;
import sprucelanding.config.records.InvalidRecordsException;

/**
 * A runner of one experiment. The runner executes the trials, compares the settings, draws charts
 * and searches for the worst faults of one setting.
 */
public final class ExperimentRunner {
    private final ExperimentInputs inputs;

    private ExperimentRunner(ExperimentInputs inputs) {
        this.inputs = inputs;
    }

    /**
     * Reads an experiment and the files that the experiment names, relative to its folder.
     *
     * @throws InvalidRecordsException with the file and its errors
     * @throws IOException with the file, if a file cannot be read
     * @throws IllegalArgumentException with the field, if the experiment contradicts itself
     */
    public static ExperimentRunner read(Path file) throws InvalidRecordsException, IOException {
        return new ExperimentRunner(ExperimentInputs.read(file));
    }

    /** Returns the experiment. */
    public Experiment experiment() {
        return inputs.experiment();
    }

    /**
     * Runs the trials that have no result yet. A later call continues a run that was stopped.
     *
     * @param cores number of threads
     * @param progress receives a line for each trial, on the thread that ran the trial
     * @return number of trials that were run
     * @throws IOException if a trial fails
     */
    public int run(ResultStore results, int cores, Consumer<String> progress)
            throws IOException, InterruptedException {
        return new TrialExecution(results, progress).run(inputs.trials(), cores);
    }

    /**
     * Returns a Markdown table with the service of each setting and its paired difference from the
     * first setting.
     */
    public String compare(ResultStore results) throws IOException {
        String firstSetting = inputs.experiment().settings().get(0).name();
        return SettingComparison.of(firstSetting, inputs.trials(), results).toMarkdown();
    }

    /** Returns the results of all trials as CSV. */
    public String csv(ResultStore results) throws IOException {
        return TrialTable.csv(inputs.trials(), results);
    }

    /**
     * Draws the charts of each scenario: the service of all settings at the first seed, and the
     * samples of the first setting that has a result.
     */
    public void charts(ResultStore results, Path folder) throws IOException {
        new ExperimentCharts(inputs, results, folder).draw();
    }

    /**
     * Searches for the faults under which one setting loses most service against another, on the
     * fleet of the first scenario. Reduces the faults to those that cause most of the loss.
     *
     * @param cores number of threads
     * @param progress receives a line for each scenario with a larger loss than the previous ones
     * @return the scenario fields that differ from the first scenario, with the loss in a comment
     * @throws IllegalArgumentException if the experiment has no search
     */
    public String search(int cores, Consumer<String> progress)
            throws InvalidRecordsException, InterruptedException, IOException {
        return new WorstScenarioSearch(inputs).run(cores, progress);
    }
}
