package sprucelanding.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import sprucelanding.simulation.experiment.ExperimentRunner;
import sprucelanding.simulation.experiment.ResultStore;

/** Runs the trials of an experiment that have no stored result yet. */
@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        description = "Runs the trials that have no result yet; can be stopped and resumed.")
final class LabRunCommand implements Callable<Integer> {
    @Mixin private ExperimentOptions options;

    @Option(names = "--cores", description = "number of processor cores (default: all)")
    private int cores = Runtime.getRuntime().availableProcessors();

    @Override
    public Integer call() throws Exception {
        ExperimentRunner runner = ExperimentRunner.read(options.experimentFile());
        try (ResultStore results = options.openResults()) {
            runner.run(results, cores, System.err::println);
            System.out.print(runner.compare(results));
        }
        return ExitCode.OK;
    }
}
