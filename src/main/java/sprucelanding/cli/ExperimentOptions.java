package sprucelanding.cli;

import java.io.IOException;
import java.nio.file.Path;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sprucelanding.simulation.experiment.ResultStore;

/** Options of all subcommands of {@link LabCommand}: the experiment and its result store. */
final class ExperimentOptions {
    @Parameters(paramLabel = "EXPERIMENT", description = "the experiment, a file of records")
    private Path experimentFile;

    @Option(names = "--store", description = "file of the stored results (default: EXPERIMENT.mv)")
    private Path store;

    Path experimentFile() {
        return experimentFile;
    }

    /** Opens the result store. Creates the store if there is none. */
    ResultStore openResults() throws IOException {
        return new ResultStore(store != null ? store : Path.of(experimentFile + ".mv"));
    }
}
