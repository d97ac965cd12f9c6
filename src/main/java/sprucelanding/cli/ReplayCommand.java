package sprucelanding.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sprucelanding.config.governor.GovernorConfig;
import sprucelanding.replay.estimate.EstimatedFleet;
import sprucelanding.replay.estimate.FaultInterval;
import sprucelanding.simulation.emulator.Emulation;
import sprucelanding.simulation.emulator.RoutingPolicy;
import sprucelanding.simulation.emulator.ScenarioReplay;
import sprucelanding.simulation.experiment.PairedDifference;
import sprucelanding.simulation.scenario.Scenario;

/** From a captured day to what another setting would have made of it. */
@Command(
        name = "replay",
        mixinStandardHelpOptions = true,
        description = "Plays a captured day again, as it was and with other settings (emulated).")
final class ReplayCommand implements Callable<Integer> {
    @Parameters(
            paramLabel = "FOLDER",
            description = "with governor-N.cap, and truth.cap where stand-ins left one")
    private Path captureFolder;

    @Option(
            names = "--fleet",
            required = true,
            description = "a day's script, for machines, products, clients and rules")
    private Path script;

    @Mixin private ConfigOverlay overlay;

    @Option(
            names = "--policy",
            description = "whose tables in its place: ${COMPLETION-CANDIDATES}",
            defaultValue = "GOVERNORS")
    private RoutingPolicy policy;

    @Option(
            names = "--runs",
            description = "with replicas as they may have been as well",
            defaultValue = "6")
    private int runs;

    @Option(names = "--spells", description = "print all that befell the fleet, as estimated")
    private boolean printFaults;

    @Option(names = "--windows", description = "print service by 5 s, then and again")
    private boolean printWindows;

    @Override
    public Integer call() throws Exception {
        Scenario scenario = Scenario.read(script);
        ScenarioReplay replay = ScenarioReplay.read(captureFolder, scenario);
        replay.captureProblems().forEach(System.out::println);
        EstimatedFleet fleet = replay.fleet();
        System.out.printf(
                Locale.ROOT,
                "captured: %.0f s, %d txns (%s), %d replicas able to do %.1f cores of speed 1 in all "
                        + "(error %.1f%%)%n",
                fleet.durationMillis() / 1000,
                fleet.requests().size(),
                fleet.complete() ? "each known" : "inferred from counts",
                fleet.capacityByEndpoint().size(),
                fleet.capacityByEndpoint().values().stream()
                        .mapToDouble(capacity -> capacity)
                        .sum(),
                100 * fleet.capacityError());
        for (FaultInterval.FaultType type : FaultInterval.FaultType.values()) {
            List<FaultInterval> faults =
                    fleet.faults().stream().filter(fault -> fault.type() == type).toList();
            if (!faults.isEmpty()) {
                System.out.printf(
                        Locale.ROOT,
                        "  %s: %d, the first %.1f s to %.1f s (%d, %.2f)%n",
                        type,
                        faults.size(),
                        faults.get(0).from() / 1000,
                        faults.get(0).to() / 1000,
                        faults.get(0).subject(),
                        faults.get(0).severity());
            }
        }
        for (FaultInterval fault : printFaults ? fleet.faults() : List.<FaultInterval>of()) {
            System.out.printf(
                    Locale.ROOT,
                    "  %7.1f s to %7.1f s  %-15s %d  %.2f%n",
                    fault.from() / 1000,
                    fault.to() / 1000,
                    fault.type(),
                    fault.subject(),
                    fault.severity());
        }
        if (replay.original() != null) {
            System.out.printf(
                    Locale.ROOT,
                    "measured then: service %.3f, %d tries%n",
                    replay.original().service(),
                    replay.original().attempts());
        }
        List<GovernorConfig> originalConfigs = replay.governorConfigs(null, null);
        Emulation.Result replayed =
                replay.play(
                        originalConfigs,
                        RoutingPolicy.GOVERNORS,
                        0,
                        Emulation.EmulationListener.NONE);
        System.out.println("\nas it was:");
        System.out.print(replayed.outcome().table());
        if (replay.original() != null) {
            double[] agreement = replay.agreement(replayed.serviceByWindow(), 0.05);
            System.out.printf(
                    Locale.ROOT,
                    "service %+.3f against what was measured; %.0f of %.0f windows of 5 s within 0.05, "
                            + "the worst off by %.3f; %d tries%n",
                    replayed.service() - replay.original().service(),
                    agreement[1],
                    agreement[0],
                    agreement[2],
                    replayed.attempts());
            for (int i = 0;
                    printWindows
                            && i
                                    < Math.min(
                                            replay.serviceByWindow().length,
                                            replayed.serviceByWindow().length);
                    i++) {
                System.out.printf(
                        Locale.ROOT,
                        "  %3d s  %.3f  %.3f%n",
                        5 * i,
                        replay.serviceByWindow()[i],
                        replayed.serviceByWindow()[i]);
            }
        }
        if (!overlay.isGiven() && policy == RoutingPolicy.GOVERNORS) {
            return 0;
        }
        List<GovernorConfig> changedConfigs =
                replay.governorConfigs(overlay.name(), overlay.text());
        Emulation.Result changed =
                replay.play(changedConfigs, policy, 0, Emulation.EmulationListener.NONE);
        System.out.println("\nwith the other setting:");
        System.out.print(changed.outcome().table());
        PairedDifference difference =
                PairedDifference.of(
                        IntStream.range(0, runs)
                                .parallel()
                                .mapToObj(
                                        run ->
                                                replay.play(
                                                                        changedConfigs,
                                                                        policy,
                                                                        run,
                                                                        Emulation.EmulationListener
                                                                                .NONE)
                                                                .service()
                                                        - replay.play(
                                                                        originalConfigs,
                                                                        RoutingPolicy.GOVERNORS,
                                                                        run,
                                                                        Emulation.EmulationListener
                                                                                .NONE)
                                                                .service())
                                .toList());
        System.out.printf(
                Locale.ROOT,
                "%nservice would have been %+.4f, 95%% between %+.4f and %+.4f over %d runs with replicas "
                        + "within the estimate's error: %s%n",
                difference.mean(),
                difference.mean() - difference.confidenceHalfWidth(),
                difference.mean() + difference.confidenceHalfWidth(),
                runs,
                !difference.isSignificant()
                        ? "no difference that is more than the uncertainty"
                        : difference.mean() > 0 ? "better" : "worse");
        return 0;
    }
}
