package sprucelanding.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sprucelanding.simulation.scenario.Scenario;
import sprucelanding.simulation.scenario.ScenarioRunner;

/** Runs a scenario over loopback sockets with governor processes and a simulated fleet. */
@Command(
        name = "day",
        mixinStandardHelpOptions = true,
        description = "Runs a scenario on loopback and checks the rules.")
final class DayCommand implements Callable<Integer> {
    @Parameters(paramLabel = "SCRIPT", description = "the scenario, a file of records")
    private Path scenarioFile;

    @Option(names = "--report", description = "also write the results to this file as JSON")
    private Path report;

    @Option(names = "--seconds", description = "run only this many seconds")
    private double seconds;

    @Option(
            names = "--tables",
            description = "source of the tables: ${COMPLETION-CANDIDATES} (default: governors)",
            defaultValue = "governors")
    private ScenarioRunner.TableSource tables;

    @Option(names = "--logs", description = "keep the governors' logs in this folder")
    private Path logs;

    @Mixin private ConfigOverlay overlay;

    @Option(
            names = "--captures",
            description = "also keep captures and simulated requests with the logs")
    private boolean keepCaptures;

    @Override
    public Integer call() throws Exception {
        Scenario scenario = Scenario.read(scenarioFile);
        System.err.println("seed " + scenario.seed());
        ScenarioRunner runner =
                new ScenarioRunner(
                        scenario,
                        seconds > 0 ? seconds * 1000 : scenario.lasts(),
                        tables,
                        overlay.file(),
                        logs,
                        keepCaptures);
        ScenarioRunner.ScenarioResult result = runner.run();
        System.out.print(result.table());
        if (report != null) {
            result.write(report);
        }
        return ExitCode.of(result.kept());
    }
}
