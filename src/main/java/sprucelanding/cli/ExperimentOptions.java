package sprucelanding.cli;

import java.io.IOException;
import java.nio.file.Path;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sprucelanding.simulation.experiment.ResultStore;

/** Which experiment, and where its results are: for all subcommands of {@link LabCommand}. */
final class ExperimentOptions {
    @Parameters(paramLabel = "EXPERIMENT", description = "a file of records")
    private Path experimentFile;

    @Option(names = "--store", description = "where results are kept (default: EXPERIMENT.mv)")
    private Path store;

    Path experimentFile() {
        return experimentFile;
    }

    /** Opens the results, which are created if there are none. */
    ResultStore openResults() throws IOException {
        return new ResultStore(store != null ? store : Path.of(experimentFile + ".mv"));
    }
}
