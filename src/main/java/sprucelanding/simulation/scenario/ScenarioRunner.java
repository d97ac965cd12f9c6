package sprucelanding.simulation.scenario;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import sprucelanding.replay.capture.CaptureWriter;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.simulation.rules.EventTrace;
import sprucelanding.simulation.rules.RuleChecker;
import sprucelanding.simulation.rules.TraceEvent;

/**
 * Plays a scenario in real time: simulated members of the fleet in this process on a few event
 * loops, governors as processes of their own. An instance plays it once, on the calling thread.
 */
public final class ScenarioRunner {
    /** Whose tables proxies use; the names are values of a command line option. */
    public enum TableSource {
        /** Those of the governors. */
        governors,
        /** All endpoints that are listed, evenly; no governor runs. */
        even,
        /** The endpoints that a proxy starts with; no governor runs. */
        handsOff
    }

    private static final int TRACE_CAPACITY = 20_000_000;
    private static final int GROUND_TRUTH_BLOCKS = 100_000;

    /** From the start of the fleet to the first request. */
    private static final double LEAD_MILLIS = 3000;

    /** From the latest end of a request until the fleet stops. */
    private static final int FINAL_MILLIS = 200;

    /**
     * The outcome of a scenario.
     *
     * @param table report for people
     * @param kept whether all rules were kept
     * @param figures the report for programs
     */
    public record ScenarioResult(String table, boolean kept, ObjectNode figures) {
        /** Writes the figures to a file, as JSON. */
        public void write(Path file) throws IOException {
            Files.writeString(file, figures.toPrettyString() + "\n");
        }
    }

    private final Scenario scenario;
    private final double durationMillis;
    private final TableSource tableSource;
    private final RunFiles files;
    private final EventTrace trace = new EventTrace(TRACE_CAPACITY);
    private final SplittableRandom random;
    private final LoopbackFleet fleet;

    /**
     * Prepares a run and starts the threads of its fleet.
     *
     * @param durationMillis time from the first request until clients stop
     * @param overlay records that replace some of each governor's configuration; null for none
     * @param logs folder for the governors' logs; null for a temporary one
     * @param capturing whether governors' inputs and the requests are captured in that folder
     * @throws IllegalArgumentException if the scenario contradicts itself
     */
    public ScenarioRunner(
            Scenario scenario,
            double durationMillis,
            TableSource tableSource,
            Path overlay,
            Path logs,
            boolean capturing)
            throws IOException {
        scenario.check();
        this.scenario = scenario;
        this.durationMillis = durationMillis;
        this.tableSource = tableSource;
        random = new SplittableRandom(scenario.seed());
        Path folder =
                logs == null ? Files.createTempDirectory("day") : Files.createDirectories(logs);
        files = new RunFiles(folder, Optional.ofNullable(overlay), capturing);
        fleet = new LoopbackFleet(scenario, tableSource, files, trace, random);
    }

    /**
     * Plays the scenario and checks the rules.
     *
     * @throws IOException if the fleet can't be started or a file can't be written
     */
    public ScenarioResult run() throws IOException, InterruptedException {
        try {
            fleet.start();
            scheduleFaults(EventLoop.nowMillis() + LEAD_MILLIS);
            Thread.sleep((long) LEAD_MILLIS);
            fleet.startClients();
            Thread.sleep((long) durationMillis);
            fleet.stopClients();
            Thread.sleep((long) scenario.maxExpiryMillis() + FINAL_MILLIS);
            GovernorCluster governors = fleet.governors();
            double cpuMillis = governors.cpuMillis();
            double memoryMiB = governors.memoryMiB();
            governors.requestStop();
            governors.stop();
            return outcome(cpuMillis, memoryMiB);
        } finally {
            fleet.stop();
        }
    }

    private void scheduleFaults(double firstRequestAt) {
        FaultInjector faults =
                new FaultInjector(scenario, new LoopbackFaultTarget(fleet, trace), random);
        EventLoop loop = fleet.loops().discovery();
        for (Scenario.Fault fault : scenario.allFaults()) {
            if (fault.at() < durationMillis) {
                loop.tryExecute(
                        () ->
                                loop.scheduleAt(
                                        firstRequestAt + fault.at(), () -> inject(fault, faults)));
            }
        }
    }

    private static void inject(Scenario.Fault fault, FaultInjector faults) {
        System.err.println(fault.toRecord());
        faults.inject(fault);
    }

    private ScenarioResult outcome(double cpuMillis, double memoryMiB) throws IOException {
        List<TraceEvent> events = trace.inOrder();
        RuleChecker checker = new RuleChecker(scenario.ruleLimits());
        ScenarioMetrics metrics = new ScenarioMetrics(scenario);
        for (TraceEvent event : events) {
            checker.accept(event);
            metrics.record(event);
        }
        if (files.groundTruth().isPresent()) {
            writeGroundTruth(events, files.groundTruth().get());
        }
        return metrics.outcome(
                tableSource.name(),
                durationMillis,
                checker.verdicts(),
                trace.hasOverflowed(),
                cpuMillis,
                memoryMiB,
                fleet.governors().processes());
    }

    private void writeGroundTruth(List<TraceEvent> events, Path file) throws IOException {
        try (CaptureWriter groundTruth =
                new CaptureWriter(
                        file,
                        scenario.name(),
                        GROUND_TRUTH_BLOCKS,
                        Long.MAX_VALUE,
                        System.err::println)) {
            events.forEach(event -> GroundTruth.record(event, groundTruth::append));
        }
    }
}
