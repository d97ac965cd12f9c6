package sprucelanding.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import sprucelanding.simulation.experiment.ExperimentRunner;

/** Searches for the faults under which a setting loses most against another. */
@Command(
        name = "search",
        mixinStandardHelpOptions = true,
        description = "Finds the faults under which a setting loses most and reduces them.")
final class LabSearchCommand implements Callable<Integer> {
    @Mixin private ExperimentOptions options;

    @Option(names = "--cores", description = "number of processor cores (default: all)")
    private int cores = Runtime.getRuntime().availableProcessors();

    @Override
    public Integer call() throws Exception {
        ExperimentRunner runner = ExperimentRunner.read(options.experimentFile());
        System.out.print(runner.search(cores, System.err::println));
        return ExitCode.OK;
    }
}
