package sprucelanding.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sprucelanding.simulation.experiment.ExperimentRunner;
import sprucelanding.simulation.experiment.ResultStore;

/** Experiments in virtual time. */
@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        description = "Experiments in virtual time: days x settings x seeds.",
        subcommands = {
            LabCommand.Run.class,
            LabCommand.Compare.class,
            LabCommand.Show.class,
            LabCommand.Search.class
        })
final class LabCommand {
    private LabCommand() {}

    private abstract static class ExperimentTask implements Callable<Integer> {
        @Parameters(paramLabel = "EXPERIMENT", description = "a file of records")
        Path experimentFile;

        @Option(names = "--store", description = "where results are kept (default: EXPERIMENT.mv)")
        Path store;

        final ResultStore openResults() throws java.io.IOException {
            return new ResultStore(store != null ? store : Path.of(experimentFile + ".mv"));
        }
    }

    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description = "Runs what was not run yet; it can be stopped and run again.")
    static final class Run extends ExperimentTask {
        @Option(names = "--cores", description = "(default: all)")
        private int cores = Runtime.getRuntime().availableProcessors();

        @Override
        public Integer call() throws Exception {
            ExperimentRunner runner = ExperimentRunner.read(experimentFile);
            try (ResultStore results = openResults()) {
                runner.run(results, cores, System.err::println);
                System.out.print(runner.compare(results));
            }
            return 0;
        }
    }

    @Command(
            name = "compare",
            mixinStandardHelpOptions = true,
            description =
                    "Paired differences with their intervals; with --into also CSV, Markdown and charts.")
    static final class Compare extends ExperimentTask {
        @Option(names = "--into", description = "a folder for tables and charts")
        private Path into;

        @Override
        public Integer call() throws Exception {
            System.setProperty("java.awt.headless", "true");
            ExperimentRunner runner = ExperimentRunner.read(experimentFile);
            try (ResultStore results = openResults()) {
                String table = runner.compare(results);
                System.out.print(table);
                if (into != null) {
                    Files.createDirectories(into);
                    Files.writeString(into.resolve(runner.experiment().name() + ".md"), table);
                    Files.writeString(
                            into.resolve(runner.experiment().name() + ".csv"), runner.csv(results));
                    runner.charts(results, into);
                }
            }
            return 0;
        }
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "Lists results, with the text of their settings.")
    static final class Show extends ExperimentTask {
        @Override
        public Integer call() throws Exception {
            try (ResultStore results = openResults()) {
                for (JsonNode result : results.allResults()) {
                    System.out.printf(
                            Locale.ROOT,
                            "%s, %s (%s), seed %d: service %.4f, worst 10 s %.3f, broken %s%s%n",
                            result.path("day").asText(),
                            result.path("setting").asText(),
                            result.path("policy").asText(),
                            result.path("seed").asLong(),
                            result.path("service").asDouble(),
                            result.path("worst10s").asDouble(),
                            result.path("broken"),
                            result.path("overlay").asText().isBlank()
                                    ? ""
                                    : ", with "
                                            + result.path("overlay")
                                                    .asText()
                                                    .strip()
                                                    .replace('\n', ' '));
                }
            }
            return 0;
        }
    }

    @Command(
            name = "search",
            mixinStandardHelpOptions = true,
            description =
                    "Looks for the troubles on which a setting loses most, and cuts them down.")
    static final class Search extends ExperimentTask {
        @Option(names = "--cores", description = "(default: all)")
        private int cores = Runtime.getRuntime().availableProcessors();

        @Override
        public Integer call() throws Exception {
            System.out.print(
                    ExperimentRunner.read(experimentFile).search(cores, System.err::println));
            return 0;
        }
    }
}
