package sprucelanding.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import sprucelanding.simulation.experiment.ExperimentRunner;
import sprucelanding.simulation.experiment.ResultStore;

/** Compares the settings of an experiment by their stored results. */
@Command(
        name = "compare",
        mixinStandardHelpOptions = true,
        description = "Prints paired differences with their confidence intervals.")
final class LabCompareCommand implements Callable<Integer> {
    @Mixin private ExperimentOptions options;

    @Option(names = "--into", description = "also write CSV, Markdown and charts to this folder")
    private Path into;

    @Override
    public Integer call() throws Exception {
        System.setProperty("java.awt.headless", "true");
        ExperimentRunner runner = ExperimentRunner.read(options.experimentFile());
        try (ResultStore results = options.openResults()) {
            String table = runner.compare(results);
            System.out.print(table);
            if (into != null) {
                String name = runner.experiment().name();
                Files.createDirectories(into);
                Files.writeString(into.resolve(name + ".md"), table);
                Files.writeString(into.resolve(name + ".csv"), runner.csv(results));
                runner.charts(results, into);
            }
        }
        return ExitCode.OK;
    }
}
