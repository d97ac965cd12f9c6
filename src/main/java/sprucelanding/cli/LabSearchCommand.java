package sprucelanding.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import sprucelanding.simulation.experiment.ExperimentRunner;

/** Searches for the faults under which a setting does worst against another. */
@Command(
        name = "search",
        mixinStandardHelpOptions = true,
        description = "Looks for the troubles on which a setting loses most, and cuts them down.")
final class LabSearchCommand implements Callable<Integer> {
    @Mixin private ExperimentOptions options;

    @Option(names = "--cores", description = "(default: all)")
    private int cores = Runtime.getRuntime().availableProcessors();

    @Override
    public Integer call() throws Exception {
        ExperimentRunner runner = ExperimentRunner.read(options.experimentFile());
        System.out.print(runner.search(cores, System.err::println));
        return ExitCode.OK;
    }
}
