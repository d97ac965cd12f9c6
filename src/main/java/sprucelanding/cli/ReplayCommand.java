package sprucelanding.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sprucelanding.config.governor.GovernorConfig;
import sprucelanding.config.records.InvalidRecordsException;
import sprucelanding.simulation.emulator.Emulation;
import sprucelanding.simulation.emulator.RoutingPolicy;
import sprucelanding.simulation.emulator.ScenarioReplay;
import sprucelanding.simulation.experiment.PairedDifference;
import sprucelanding.simulation.scenario.Scenario;

/**
 * Replays a captured scenario in virtual time. The replay with the recorded settings shows how well
 * the replay agrees with the capture. The replay with other settings estimates what these settings
 * would have changed.
 */
@Command(
        name = "replay",
        mixinStandardHelpOptions = true,
        description = "Replays a capture in virtual time with the same and other settings.")
final class ReplayCommand implements Callable<Integer> {
    /**
     * Number of the run with endpoints exactly as estimated. Other runs vary the endpoints within
     * the error of the estimate.
     */
    private static final int RUN_AS_ESTIMATED = 0;

    @Parameters(
            paramLabel = "FOLDER",
            description = "with governor-N.cap, and truth.cap if recorded")
    private Path captureFolder;

    @Option(
            names = "--fleet",
            required = true,
            description = "scenario with machines, classes, clients and rules")
    private Path script;

    @Mixin private ConfigOverlay overlay;

    @Option(
            names = "--policy",
            description = "source of the tables to compare: ${COMPLETION-CANDIDATES}",
            defaultValue = "GOVERNORS")
    private RoutingPolicy policy;

    @Option(
            names = "--runs",
            description = "compared runs; all but the first vary the endpoints",
            defaultValue = "6")
    private int runs;

    @Option(names = "--spells", description = "print all estimated faults of the fleet")
    private boolean printFaults;

    @Option(names = "--windows", description = "print service per 5 s, as measured and as replayed")
    private boolean printWindows;

    @Override
    public Integer call() throws Exception {
        Scenario scenario = Scenario.read(script);
        ScenarioReplay replay = ScenarioReplay.read(captureFolder, scenario);
        ReplayReport report = new ReplayReport(replay);
        report.printCaptured();
        if (printFaults) {
            report.printFaults();
        }
        report.printMeasured();
        List<GovernorConfig> originalConfigs = replay.governorConfigs(null, null);
        Emulation.Result replayed =
                play(replay, originalConfigs, RoutingPolicy.GOVERNORS, RUN_AS_ESTIMATED);
        report.printReplayed(replayed);
        if (printWindows) {
            report.printWindows(replayed);
        }
        if (overlay.isGiven() || policy != RoutingPolicy.GOVERNORS) {
            compare(replay, report, originalConfigs);
        }
        return ExitCode.OK;
    }

    private void compare(
            ScenarioReplay replay, ReplayReport report, List<GovernorConfig> originalConfigs)
            throws InvalidRecordsException, IOException {
        List<GovernorConfig> changedConfigs =
                replay.governorConfigs(overlay.name(), overlay.text());
        report.printChanged(play(replay, changedConfigs, policy, RUN_AS_ESTIMATED));
        List<Double> differences =
                IntStream.range(0, runs)
                        .parallel()
                        .mapToObj(
                                run ->
                                        play(replay, changedConfigs, policy, run).service()
                                                - play(
                                                                replay,
                                                                originalConfigs,
                                                                RoutingPolicy.GOVERNORS,
                                                                run)
                                                        .service())
                        .toList();
        report.printDifference(PairedDifference.of(differences), runs);
    }

    private static Emulation.Result play(
            ScenarioReplay replay, List<GovernorConfig> configs, RoutingPolicy policy, int run) {
        return replay.play(configs, policy, run, Emulation.EmulationListener.NONE);
    }
}
