package sprucelanding.cli;

import java.util.List;
import java.util.Locale;
import sprucelanding.replay.estimate.EstimatedFleet;
import sprucelanding.replay.estimate.FaultInterval;
import sprucelanding.simulation.emulator.Emulation;
import sprucelanding.simulation.emulator.ScenarioReplay;
import sprucelanding.simulation.experiment.PairedDifference;

/** Report of {@link ReplayCommand}. Prints to standard output. */
final class ReplayReport {
    /** Largest difference of service, 0 to 1, at which a window counts as replayed well. */
    private static final double WINDOW_TOLERANCE = 0.05;

    private static final int WINDOW_SECONDS = 5;

    private final ScenarioReplay replay;

    ReplayReport(ScenarioReplay replay) {
        this.replay = replay;
    }

    /** Prints the problems of the captures, the estimated fleet, and its faults by type. */
    void printCaptured() {
        replay.captureProblems().forEach(System.out::println);
        EstimatedFleet fleet = replay.fleet();
        System.out.printf(
                Locale.ROOT,
                "captured: %.0f s, %d txns (%s), %d replicas able to do %.1f cores of speed 1 in all "
                        + "(error %.1f%%)%n",
                fleet.durationMillis() / 1000,
                fleet.requests().size(),
                fleet.hasRecordedRequests() ? "each known" : "inferred from counts",
                fleet.capacityByEndpoint().size(),
                fleet.totalCapacity(),
                100 * fleet.capacityError());
        for (FaultInterval.FaultType type : FaultInterval.FaultType.values()) {
            printFirstFault(type);
        }
    }

    private void printFirstFault(FaultInterval.FaultType type) {
        List<FaultInterval> faults =
                replay.fleet().faults().stream().filter(fault -> fault.type() == type).toList();
        if (faults.isEmpty()) {
            return;
        }
        FaultInterval first = faults.get(0);
        System.out.printf(
                Locale.ROOT,
                "  %s: %d, the first %.1f s to %.1f s (%d, %.2f)%n",
                type,
                faults.size(),
                first.from() / 1000,
                first.to() / 1000,
                first.subject(),
                first.severity());
    }

    /** Prints all estimated faults. */
    void printFaults() {
        for (FaultInterval fault : replay.fleet().faults()) {
            System.out.printf(
                    Locale.ROOT,
                    "  %7.1f s to %7.1f s  %-15s %d  %.2f%n",
                    fault.from() / 1000,
                    fault.to() / 1000,
                    fault.type(),
                    fault.subject(),
                    fault.severity());
        }
    }

    /** Prints what simulated clients measured during the capture, if a measurement exists. */
    void printMeasured() {
        if (isMeasured()) {
            System.out.printf(
                    Locale.ROOT,
                    "measured then: service %.3f, %d tries%n",
                    replay.originalMetrics().service(),
                    replay.originalMetrics().attempts());
        }
    }

    private boolean isMeasured() {
        return replay.originalMetrics() != null;
    }

    /**
     * Prints the replay with the recorded settings, and how well it agrees with the measurement.
     */
    void printReplayed(Emulation.Result replayed) {
        System.out.println("\nas it was:");
        System.out.print(replayed.outcome().table());
        if (!isMeasured()) {
            return;
        }
        // Number of windows, number of windows within the tolerance, largest difference.
        double[] agreement = replay.agreement(replayed.serviceByWindow(), WINDOW_TOLERANCE);
        System.out.printf(
                Locale.ROOT,
                "service %+.3f against what was measured; %.0f of %.0f windows of 5 s within 0.05, "
                        + "the worst off by %.3f; %d tries%n",
                replayed.service() - replay.originalMetrics().service(),
                agreement[1],
                agreement[0],
                agreement[2],
                replayed.attempts());
    }

    /** Prints service by window, as measured and as replayed, if a measurement exists. */
    void printWindows(Emulation.Result replayed) {
        if (!isMeasured()) {
            return;
        }
        double[] measuredService = replay.serviceByWindow();
        double[] replayedService = replayed.serviceByWindow();
        int windows = Math.min(measuredService.length, replayedService.length);
        for (int window = 0; window < windows; window++) {
            System.out.printf(
                    Locale.ROOT,
                    "  %3d s  %.3f  %.3f%n",
                    WINDOW_SECONDS * window,
                    measuredService[window],
                    replayedService[window]);
        }
    }

    /** Prints the replay with other settings. */
    void printChanged(Emulation.Result changed) {
        System.out.println("\nwith the other setting:");
        System.out.print(changed.outcome().table());
    }

    /** Prints how much the other settings would have changed service. */
    void printDifference(PairedDifference difference, int runs) {
        System.out.printf(
                Locale.ROOT,
                "%nservice would have been %+.4f, 95%% between %+.4f and %+.4f over %d runs with replicas "
                        + "within the estimate's error: %s%n",
                difference.mean(),
                difference.mean() - difference.confidenceHalfWidth(),
                difference.mean() + difference.confidenceHalfWidth(),
                runs,
                verdict(difference));
    }

    private static String verdict(PairedDifference difference) {
        if (!difference.isSignificant()) {
            return "no difference that is more than the uncertainty";
        }
        return difference.mean() > 0 ? "better" : "worse";
    }
}
