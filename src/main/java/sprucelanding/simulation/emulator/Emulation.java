package sprucelanding.simulation.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;
import sprucelanding.config.governor.GovernorConfig;
import sprucelanding.config.records.InvalidRecordsException;
import sprucelanding.replay.capture.RecordingInput;
import sprucelanding.simulation.rules.RuleChecker;
import sprucelanding.simulation.rules.TraceEvent;
import sprucelanding.simulation.rules.Verdict;
import sprucelanding.simulation.scenario.Scenario;
import sprucelanding.simulation.scenario.ScenarioMetrics;
import sprucelanding.simulation.scenario.ScenarioRunner;

/**
 * Emulated run of a scenario on virtual time. Checks the rules, measures the revenue, and computes
 * a hash of all events. Equal runs have equal hashes.
 */
public final class Emulation {
    private static final double WINDOW_MILLIS = 5000;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final long HASH_SEED = 1_125_899_906_842_597L;
    private static final long HASH_FACTOR = 0x9E3779B97F4A7C15L;

    /**
     * Result of a run.
     *
     * @param outcome report of the scenario
     * @param service share of the requested revenue that was earned
     * @param worstTenSeconds service in the worst 10 s
     * @param serviceByWindow service in each window of 5 s; a request belongs to the window of its
     *     arrival
     * @param hash hash of all events; equal for equal runs
     * @param requests number of requests that ended
     * @param attempts number of attempts at endpoints
     * @param acknowledgementP50Millis median time from an order to its acknowledgement, in ms
     * @param acknowledgementP99Millis 99th percentile of the time from an order to its
     *     acknowledgement, in ms
     * @param internalErrors number of decisions that failed
     * @param verdicts verdicts of the rule checker
     * @param wallMillis wall time of the run, in ms
     * @param samples one row for each second: seconds since the clients started, mean utilization
     *     by zone, mean admitted share by request class, longest acknowledgement in ms
     * @param peerBytesPerSecond bytes per second of all datagrams between governors
     * @param peerPacketsPerSecond datagrams per second between governors
     * @param peerHandlingMillisPerSecond ms of wall time per second of the run spent on processing
     *     these datagrams
     */
    public record Result(
            ScenarioRunner.ScenarioResult outcome,
            double service,
            double worstTenSeconds,
            double[] serviceByWindow,
            long hash,
            long requests,
            long attempts,
            double acknowledgementP50Millis,
            double acknowledgementP99Millis,
            int internalErrors,
            List<Verdict> verdicts,
            double wallMillis,
            List<double[]> samples,
            double peerBytesPerSecond,
            double peerPacketsPerSecond,
            double peerHandlingMillisPerSecond) {}

    private final Scenario scenario;
    private final RuleChecker ruleChecker;
    private final ScenarioMetrics metrics;
    private final TreeMap<Integer, double[]> revenueByWindow = new TreeMap<>();
    private final EmulationListener listener;
    private double clientsStartAt;
    private long hash = HASH_SEED;
    private long requests;

    /** Listener of a run. The default methods ignore all events, log lines and captures. */
    public interface EmulationListener {
        /** Listener that ignores all events, log lines and captures. */
        EmulationListener NONE = new EmulationListener() {};

        /** Called for each event, in order of time. */
        default void onEvent(TraceEvent event) {}

        /** Returns whether log lines are created at all. */
        default boolean wantsLog() {
            return false;
        }

        /** Called for each log line of a governor. The line starts with its time. */
        default void onLogLine(String line) {}

        /** Opens the sink for the capture of one incarnation of a governor; null for no capture. */
        default RecordingInput.Sink openCapture(int governor, int incarnation) {
            return null;
        }
    }

    private Emulation(Scenario scenario, EmulationListener listener) {
        this.scenario = scenario;
        this.listener = listener;
        this.ruleChecker = new RuleChecker(scenario.ruleLimits());
        this.metrics = new ScenarioMetrics(scenario);
    }

    /**
     * Returns the configurations of a scenario's governors, each with an overlay of settings.
     *
     * @param overlay text of the settings that override the configurations; null for none
     * @throws InvalidRecordsException if the overlay is invalid
     */
    public static List<GovernorConfig> governorConfigs(
            Scenario scenario, String overlayName, String overlay) throws InvalidRecordsException {
        List<GovernorConfig> configs = new ArrayList<>();
        for (int governor = 0; governor < scenario.governors().count(); governor++) {
            String text =
                    scenario.governorConfig(
                            governor,
                            "127.0.0.1:1",
                            "at: \"127.0.0.1:2\"",
                            scenario.peerConfig(governor, peer -> "127.0.0.1:3", ""));
            configs.add(GovernorConfig.parse("governor " + governor, text, overlayName, overlay));
        }
        return configs;
    }

    /** Plays a scenario with the scenario's own endpoints, demand and faults. */
    public static Result play(
            Scenario scenario,
            double durationMillis,
            List<GovernorConfig> governorConfigs,
            RoutingPolicy policy,
            EmulationListener listener) {
        scenario.check();
        double[] expectedRates = scenario.expectedLoads();
        return play(
                new FleetSpec(
                        scenario,
                        durationMillis,
                        EndpointSpec.ofScenario(scenario),
                        governorConfigs,
                        policy,
                        proxy ->
                                new RandomDemand(
                                        scenario.products(),
                                        expectedRates[proxy],
                                        scenario.seed() * 3000 + proxy),
                        EmulatedFleet::scheduleScriptedFaults,
                        scenario.seed()),
                listener);
    }

    /** Plays a run of the specified fleet. */
    static Result play(FleetSpec spec, EmulationListener listener) {
        Emulation emulation = new Emulation(spec.scenario(), listener);
        EmulatedFleet fleet = new EmulatedFleet(spec, emulation::record, listener);
        emulation.clientsStartAt = fleet.startsAt();
        long startedNanos = System.nanoTime();
        fleet.run();
        double wallMillis = (System.nanoTime() - startedNanos) / NANOS_PER_MILLI;
        return emulation.result(spec, fleet, wallMillis);
    }

    private Result result(FleetSpec spec, EmulatedFleet fleet, double wallMillis) {
        double durationMillis = spec.durationMillis();
        List<Verdict> verdicts = ruleChecker.verdicts();
        AcknowledgementTimes acknowledgementTimes = new AcknowledgementTimes();
        int internalErrors = 0;
        for (EmulatedGovernor governor : fleet.governors) {
            acknowledgementTimes.add(governor.acknowledgementTimes());
            internalErrors += governor.internalErrors();
        }
        double peerHandlingMillis =
                fleet.governors.stream().mapToDouble(EmulatedGovernor::peerHandlingMillis).sum();
        ScenarioRunner.ScenarioResult outcome =
                metrics.createResult(
                        spec.policy().name().toLowerCase(Locale.ROOT),
                        durationMillis,
                        verdicts,
                        false,
                        0,
                        0,
                        List.of());
        return new Result(
                outcome,
                metrics.service(),
                outcome.figures().path("worst10s").asDouble(),
                serviceByWindow(),
                hash,
                requests,
                metrics.attempts(),
                acknowledgementTimes.millisAtPercentile(50),
                acknowledgementTimes.millisAtPercentile(99),
                internalErrors,
                verdicts,
                wallMillis,
                fleet.samples(),
                fleet.network.peerBytes() * 1000 / durationMillis,
                fleet.network.peerPackets() * 1000 / durationMillis,
                peerHandlingMillis * 1000 / durationMillis);
    }

    private double[] serviceByWindow() {
        return revenueByWindow.values().stream()
                .mapToDouble(window -> window[1] == 0 ? 1 : window[0] / window[1])
                .toArray();
    }

    private void record(TraceEvent event) {
        ruleChecker.accept(event);
        metrics.record(event);
        mixIntoHash(Double.doubleToRawLongBits(event.at()));
        if (event instanceof TraceEvent.RequestEnded ended) {
            mixIntoHash(ended.requestId() * 8 + ended.outcome().ordinal());
            requests++;
            addToWindow(revenueByWindow, ended, clientsStartAt, scenario);
        } else if (event instanceof TraceEvent.AttemptSent sent) {
            mixIntoHash(sent.requestId() * 31 + sent.endpointId());
        } else if (event instanceof TraceEvent.MessageRead update) {
            mixIntoHash(update.nonce() * 31 + update.entries() * 7L + update.proxy());
        }
        listener.onEvent(event);
    }

    /**
     * Adds a request to the earned and requested revenue of the window in which the request
     * arrived.
     */
    static void addToWindow(
            TreeMap<Integer, double[]> windows,
            TraceEvent.RequestEnded ended,
            double startsAt,
            Scenario scenario) {
        double[] window =
                windows.computeIfAbsent(
                        (int) ((ended.at() - ended.latencyMillis() - startsAt) / WINDOW_MILLIS),
                        ignored -> new double[2]);
        window[0] += ScenarioMetrics.earnedRevenue(ended, scenario);
        window[1] += scenario.products().get(ended.requestClass()).revenue();
    }

    private void mixIntoHash(long value) {
        hash = (hash ^ value) * HASH_FACTOR;
        hash ^= hash >>> 29;
    }
}
