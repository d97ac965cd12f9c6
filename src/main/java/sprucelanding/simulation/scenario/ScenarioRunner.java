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
 * A runner that plays a scenario in real time. Simulated members of the fleet run on a few event
 * loops of this process, and governors run as separate processes. An instance plays its scenario
 * once, on the calling thread.
 */
public final class ScenarioRunner {
    /** The source of the tables that proxies use. The names are values of a command line option. */
    public enum TableSource {
        /** Governors send the tables. */
        governors,
        /** Proxies use all endpoints evenly. No governor runs. */
        even,
        /** Each proxy uses the endpoints that it starts with. No governor runs. */
        handsOff
    }

    private static final int TRACE_CAPACITY = 20_000_000;
    private static final int GROUND_TRUTH_BLOCKS = 100_000;

    /** Time from the start of the fleet to the first request. */
    private static final double START_DELAY_MILLIS = 3000;

    /** Time from the latest possible end of a request until the fleet stops. */
    private static final int STOP_DELAY_MILLIS = 200;

    /**
     * The outcome of a scenario.
     *
     * @param table report as text for people
     * @param kept whether all rules were kept, the trace held all events and no decision failed
     * @param figures report as JSON for programs
     */
    public record ScenarioResult(String table, boolean kept, ObjectNode figures) {
        /** Writes the figures to a file as JSON. */
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
     * @param overlay file with records that replace some of each governor's configuration; null for
     *     none
     * @param logs folder for the governors' logs; null for a temporary folder
     * @param capturing whether governors' inputs and the requests are captured in that folder
     * @throws IllegalArgumentException if the scenario is inconsistent
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
     * Plays the scenario, checks the rules and returns the outcome.
     *
     * @throws IOException if the fleet cannot be started or a file cannot be written
     */
    public ScenarioResult run() throws IOException, InterruptedException {
        try {
            fleet.start();
            scheduleFaults(EventLoop.nowMillis() + START_DELAY_MILLIS);
            Thread.sleep((long) START_DELAY_MILLIS);
            fleet.startClients();
            Thread.sleep((long) durationMillis);
            fleet.stopClients();
            Thread.sleep((long) scenario.maxExpiryMillis() + STOP_DELAY_MILLIS);
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
        System.err.println(fault.toLogLine());
        faults.inject(fault);
    }

    private ScenarioResult outcome(double cpuMillis, double memoryMiB) throws IOException {
        List<TraceEvent> events = trace.eventsInTimeOrder();
        RuleChecker checker = new RuleChecker(scenario.ruleLimits());
        ScenarioMetrics metrics = new ScenarioMetrics(scenario);
        for (TraceEvent event : events) {
            checker.accept(event);
            metrics.record(event);
        }
        if (files.groundTruth().isPresent()) {
            writeGroundTruth(events, files.groundTruth().get());
        }
        return metrics.createResult(
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
