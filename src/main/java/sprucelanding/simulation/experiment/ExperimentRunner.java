package sprucelanding.simulation.experiment;

import java.io.IOException;
import java.nio.file.Path;
import java.util.function.Consumer;
import sprucelanding.config.records.InvalidRecordsException;

/** Runs an experiment, compares its settings and searches for the worst faults of one of them. */
public final class ExperimentRunner {
    private final ExperimentInputs inputs;

    private ExperimentRunner(ExperimentInputs inputs) {
        this.inputs = inputs;
    }

    /**
     * Reads an experiment and the files beside it that it names.
     *
     * @throws InvalidRecordsException with the file and its errors
     * @throws IOException with the file, if it can't be read
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
     * Runs the trials that have no result yet. If it is stopped, the next call goes on from there.
     *
     * @param cores number of threads
     * @param progress takes a line for each trial, on the thread that ran it
     * @return number of trials that were run
     * @throws IOException if a trial fails
     */
    public int run(ResultStore results, int cores, Consumer<String> progress)
            throws IOException, InterruptedException {
        return new TrialExecution(results, progress).run(inputs.trials(), cores);
    }

    /**
     * Returns a table in Markdown with each setting's service and its paired difference to the
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
     * Draws charts of each scenario: the service of all settings at the first seed, and the samples
     * of the first setting.
     */
    public void charts(ResultStore results, Path folder) throws IOException {
        new ExperimentCharts(inputs, results, folder).draw();
    }

    /**
     * Searches for the faults on which one setting loses most against another, on the first
     * scenario's fleet, and reduces them.
     *
     * @param cores number of threads
     * @param progress takes a line for each scenario that is worse than those before
     * @return the fields of that scenario that differ, with the loss in a comment
     * @throws IllegalArgumentException if the experiment doesn't say what to search
     */
    public String search(int cores, Consumer<String> progress)
            throws InvalidRecordsException, InterruptedException, IOException {
        return new WorstScenarioSearch(inputs).run(cores, progress);
    }
}
