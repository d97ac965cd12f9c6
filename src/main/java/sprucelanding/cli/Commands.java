package sprucelanding.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sprucelanding.config.governor.GovernorConfig;
import sprucelanding.config.records.InvalidRecordsException;
import sprucelanding.simulation.emulator.Emulation;
import sprucelanding.simulation.emulator.RoutingPolicy;
import sprucelanding.simulation.scenario.EditRateBenchmark;
import sprucelanding.simulation.scenario.GovernorBenchmark;
import sprucelanding.simulation.scenario.LoadGenerator;
import sprucelanding.simulation.scenario.Scenario;
import sprucelanding.simulation.scenario.ScenarioRunner;

/**
 * The sub-commands. Exit codes: 0 well, 1 it failed or a rule broke, 2 what was given cannot be
 * used.
 */
@Command(
        name = "sprucelanding",
        mixinStandardHelpOptions = true,
        version = "0.2.0",
        description = "Publishes routing tables to a fleet of plain proxies.",
        subcommands = {
            Commands.RunGovernor.class,
            Commands.PlayScenario.class,
            RecordsCommand.Check.class,
            Commands.MeasureGovernor.class,
            Commands.MeasureEdits.class,
            Commands.RunAdapter.class,
            CaptureCommand.class,
            Commands.EmulateScenario.class,
            ReplayCommand.class,
            LabCommand.class,
            Commands.GenerateLoad.class,
            RecordsCommand.class,
            ExpectCommand.class,
            SoakCommand.class
        })
final class Commands {
    private Commands() {}

    static int run(String[] args) {
        return new CommandLine(new Commands())
                .setExecutionExceptionHandler(
                        (error, commandLine, parseResult) -> {
                            if (error instanceof InvalidRecordsException
                                    || error instanceof IOException
                                    || error instanceof IllegalArgumentException) {
                                commandLine
                                        .getErr()
                                        .println(
                                                error instanceof IOException
                                                        ? error.toString()
                                                        : error.getMessage());
                                return 2;
                            }
                            throw error;
                        })
                .execute(args);
    }

    @Command(
            name = "govern",
            mixinStandardHelpOptions = true,
            description = "Runs a governor until it is stopped.")
    static final class RunGovernor implements Callable<Integer> {
        private static final Logger LOG = LoggerFactory.getLogger("sprucelanding.govern");
        private static final double HANDOVER_TIMEOUT_MILLIS =
                2500; // ms that it has for sending its proxies on

        @Option(names = "--config", required = true, description = "its station, a file of records")
        private Path config;

        @Mixin private ConfigOverlay overlay;

        @Override
        public Integer call() throws Exception {
            String text = Files.readString(config);
            GovernorConfig governorConfig =
                    GovernorConfig.parse(
                            config.getFileName().toString(), text, overlay.name(), overlay.text());
            GovernorFactory.GovernorInstance governor =
                    GovernorFactory.create(governorConfig, text);
            Runtime.getRuntime()
                    .addShutdownHook(
                            new Thread(
                                    () -> {
                                        boolean hasPeers =
                                                !governorConfig.peers().others().isEmpty();
                                        boolean proxiesHandedOver =
                                                hasPeers
                                                        && governor.governor()
                                                                .drain(HANDOVER_TIMEOUT_MILLIS);
                                        LOG.atInfo()
                                                .setMessage("stops")
                                                .addKeyValue("proxiesSentOn", proxiesHandedOver)
                                                .log();
                                        governor.close();
                                    }));
            governor.start(governorConfig.reports().every());
            Thread.currentThread().join();
            return 0;
        }
    }

    @Command(
            name = "day",
            mixinStandardHelpOptions = true,
            description =
                    "Plays a scripted day on loopback, simulated fleet and all, and judges the rules.")
    static final class PlayScenario implements Callable<Integer> {
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
                description =
                        "governors' captures go there too, and what stand-ins know of the txns")
        private boolean keepCaptures;

        @Override
        public Integer call() throws Exception {
            Scenario scenario = Scenario.read(scenarioFile);
            System.err.println("seed " + scenario.seed());
            ScenarioRunner.ScenarioResult outcome =
                    new ScenarioRunner(
                                    scenario,
                                    seconds > 0 ? seconds * 1000 : scenario.lasts(),
                                    tables,
                                    overlay.file(),
                                    logs,
                                    keepCaptures)
                            .run();
            System.out.print(outcome.table());
            if (report != null) {
                outcome.write(report);
            }
            return outcome.kept() ? 0 : 1;
        }
    }

    @Command(
            name = "emulate",
            mixinStandardHelpOptions = true,
            description =
                    "Plays a scripted day in virtual time, the governors' own core and all, and judges the rules.")
    static final class EmulateScenario implements Callable<Integer> {
        @Parameters(paramLabel = "SCRIPT", description = "the day, a file of records")
        private Path scenarioFile;

        @Option(names = "--seconds", description = "play so many seconds only")
        private double seconds;

        @Option(
                names = "--policy",
                description = "whose tables: ${COMPLETION-CANDIDATES} (default: GOVERNORS)",
                defaultValue = "GOVERNORS")
        private RoutingPolicy policy;

        @Mixin private ConfigOverlay overlay;

        @Option(names = "--report", description = "write the figures there too, as JSON")
        private Path report;

        @Option(names = "--log", description = "print what governors log")
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
                            new Emulation.EmulationListener() {
                                @Override
                                public boolean wantsLog() {
                                    return printLog;
                                }

                                @Override
                                public void onLogLine(String commandLine) {
                                    System.out.println(commandLine);
                                }
                            });
            System.out.print(result.outcome().table());
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
            if (scenario.governors().shared()) {
                System.out.printf(
                        Locale.ROOT,
                        "governors told each other %.0f packets, %.0f bytes a second in all; hearing them took "
                                + "%.1f ms of this machine a second%n",
                        result.peerPacketsPerSecond(),
                        result.peerBytesPerSecond(),
                        result.peerHandlingMillisPerSecond());
            }
            if (report != null) {
                result.outcome().write(report);
            }
            return result.outcome().kept() && result.internalErrors() == 0 ? 0 : 1;
        }
    }

    @Command(
            name = "load",
            mixinStandardHelpOptions = true,
            description =
                    "A script's clients against proxies that run, open loop; waits count from when a txn was to come.")
    static final class GenerateLoad implements Callable<Integer> {
        @Parameters(paramLabel = "SCRIPT", description = "the day that names products and clients")
        private Path scenarioFile;

        @Option(
                names = "--to",
                required = true,
                split = ",",
                paramLabel = "HOST:PORT",
                description = "proxies")
        private String[] proxyAddresses;

        @Option(names = "--txns", description = "a second in all (default: as the day has it)")
        private double txns;

        @Option(names = "--seconds", defaultValue = "30")
        private double seconds;

        @Override
        public Integer call() throws Exception {
            Scenario scenario = Scenario.read(scenarioFile);
            StringBuilder table = new StringBuilder();
            new LoadGenerator(
                            scenario,
                            java.util.Arrays.stream(proxyAddresses)
                                    .map(address -> GovernorFactory.parseAddress(address, "--to"))
                                    .toList(),
                            txns > 0 ? txns : scenario.txns())
                    .run(seconds * 1000, table);
            System.out.print(table);
            return 0;
        }
    }

    @Command(
            name = "measure",
            mixinStandardHelpOptions = true,
            description =
                    "Measures a governor at a size: from decision to bytes written and to acknowledgement.")
    static final class MeasureGovernor implements Callable<Integer> {
        @Option(names = "--proxies", defaultValue = "209")
        private int proxies;

        @Option(names = "--replicas", defaultValue = "97")
        private int replicas;

        @Option(names = "--seconds", defaultValue = "20")
        private double seconds;

        @Option(
                names = "--devices",
                description = "share of the proxies that take NETCONF edits",
                defaultValue = "0")
        private double devices;

        @Option(names = "--slow", description = "so many proxies read nothing", defaultValue = "0")
        private int slow;

        @Override
        public Integer call() throws Exception {
            System.out.print(
                    new GovernorBenchmark(proxies, replicas, seconds * 1000, slow, devices).run());
            return 0;
        }
    }

    @Command(
            name = "edits",
            mixinStandardHelpOptions = true,
            description = "Measures how many edits a second the NETCONF front carries.")
    static final class MeasureEdits implements Callable<Integer> {
        @Option(names = "--devices", split = ",", defaultValue = "1,8,32,64")
        private int[] devices;

        @Option(names = "--seconds", defaultValue = "8")
        private double seconds;

        @Override
        public Integer call() throws Exception {
            for (int deviceCount : devices) {
                System.out.print(new EditRateBenchmark(deviceCount, false).run(seconds * 1000));
                System.out.print(new EditRateBenchmark(deviceCount, true).run(seconds * 1000));
            }
            return 0;
        }
    }

    /** Only named here for the help: Main starts it without this class. */
    @Command(
            name = "adapter",
            description = "The decisions on the simulator's wire, standard input and output.")
    static final class RunAdapter implements Callable<Integer> {
        @Override
        public Integer call() {
            return new sprucelanding.simulation.simulator.SimulatorAdapter(
                            System.in, System.out, System.err)
                    .run();
        }
    }
}
