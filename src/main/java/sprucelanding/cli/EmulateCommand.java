package sprucelanding.cli;

import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sprucelanding.simulation.emulator.Emulation;
import sprucelanding.simulation.emulator.RoutingPolicy;
import sprucelanding.simulation.scenario.Scenario;

/** Runs a scenario in virtual time and prints its results. */
@Command(
        name = "emulate",
        mixinStandardHelpOptions = true,
        description = "Runs a scenario in virtual time and checks the rules.")
final class EmulateCommand implements Callable<Integer> {
    @Parameters(paramLabel = "SCRIPT", description = "the scenario, a file of records")
    private Path scenarioFile;

    @Option(names = "--seconds", description = "run only this many seconds")
    private double seconds;

    @Option(
            names = "--policy",
            description = "source of the tables: ${COMPLETION-CANDIDATES} (default: GOVERNORS)",
            defaultValue = "GOVERNORS")
    private RoutingPolicy policy;

    @Mixin private ConfigOverlay overlay;

    @Option(names = "--report", description = "also write the results to this file as JSON")
    private Path report;

    @Option(names = "--log", description = "print the log lines of the governors")
    private boolean printLog;

    @Override
    public Integer call() throws Exception {
        Scenario scenario = Scenario.read(scenarioFile);
        Emulation.Result result =
                Emulation.play(
                        scenario,
                        seconds > 0 ? seconds * 1000 : scenario.lasts(),
                        Emulation.governorConfigs(scenario, overlay.name(), overlay.text()),
                        policy,
                        new LogPrinter(printLog));
        System.out.print(result.outcome().table());
        printFigures(result);
        if (scenario.governors().shared()) {
            printPeerTraffic(result);
        }
        if (report != null) {
            result.outcome().write(report);
        }
        return ExitCode.of(result.outcome().kept() && result.internalErrors() == 0);
    }

    private static void printFigures(Emulation.Result result) {
        System.out.printf(
                Locale.ROOT,
                "order in force p50 %.1f ms, p99 %.1f ms; %d txns, %d tries; %d bugs; "
                        + "%.0f txns a second of this machine (%.1f s), hash %016x%n",
                result.acknowledgementP50Millis(),
                result.acknowledgementP99Millis(),
                result.requests(),
                result.attempts(),
                result.internalErrors(),
                result.requests() / result.wallMillis() * 1000,
                result.wallMillis() / 1000,
                result.hash());
    }

    private static void printPeerTraffic(Emulation.Result result) {
        System.out.printf(
                Locale.ROOT,
                "governors told each other %.0f packets, %.0f bytes a second in all; hearing them took "
                        + "%.1f ms of this machine a second%n",
                result.peerPacketsPerSecond(),
                result.peerBytesPerSecond(),
                result.peerHandlingMillisPerSecond());
    }

    /** Prints the log lines of the governors if the option is set. */
    private static final class LogPrinter implements Emulation.EmulationListener {
        private final boolean enabled;

        LogPrinter(boolean enabled) {
            this.enabled = enabled;
        }

        @Override
        public boolean wantsLog() {
            return enabled;
        }

        @Override
        public void onLogLine(String line) {
            System.out.println(line);
        }
    }
}
