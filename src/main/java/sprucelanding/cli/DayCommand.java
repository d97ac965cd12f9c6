package sprucelanding.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sprucelanding.simulation.scenario.Scenario;
import sprucelanding.simulation.scenario.ScenarioRunner;

/** Plays a scenario over sockets on loopback, with governor processes and a simulated fleet. */
@Command(
        name = "day",
        mixinStandardHelpOptions = true,
        description =
                "Plays a scripted day on loopback, simulated fleet and all, and judges the rules.")
final class DayCommand implements Callable<Integer> {
    @Parameters(paramLabel = "SCRIPT", description = "the day, a file of records")
    private Path scenarioFile;

    @Option(names = "--report", description = "write the figures there too, as JSON")
    private Path report;

    @Option(names = "--seconds", description = "play so many seconds only")
    private double seconds;

    @Option(
            names = "--tables",
            description = "whose tables: ${COMPLETION-CANDIDATES} (default: governors)",
            defaultValue = "governors")
    private ScenarioRunner.TableSource tables;

    @Option(names = "--logs", description = "keep the governors' logs in this folder")
    private Path logs;

    @Mixin private ConfigOverlay overlay;

    @Option(
            names = "--captures",
            description = "governors' captures go there too, and what stand-ins know of the txns")
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
