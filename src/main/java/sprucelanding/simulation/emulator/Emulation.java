package sprucelanding.simulation.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;
import java.util.function.IntFunction;
import org.HdrHistogram.Histogram;
import sprucelanding.config.governor.GovernorConfig;
import sprucelanding.config.records.InvalidRecordsException;
import sprucelanding.replay.capture.RecordingInput;
import sprucelanding.simulation.rules.RuleChecker;
import sprucelanding.simulation.rules.TraceEvent;
import sprucelanding.simulation.rules.Verdict;
import sprucelanding.simulation.scenario.Scenario;
import sprucelanding.simulation.scenario.ScenarioMetrics;
import sprucelanding.simulation.scenario.ScenarioRunner;

/** One emulated day, from script and settings to figures. */
public final class Emulation {
    private static final double WINDOW_MILLIS = 5000;

    /**
     * What came of it.
     *
     * @param windows service of each 5 s, by when txns came
     * @param hash of all that was seen: equal for equal days
     * @param inForceP99 ms from an order to its acknowledgement
     * @param took ms of this machine
     * @param peerBytes a second in all that governors told each other, peerPackets packets,
     *     sharingTook ms of this machine for it
     * @param samples each second: s, load by zone, share let in by product, ms of the longest order
     *     to come in force
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
    private long hash = 1_125_899_906_842_597L;
    private long requests;

    /** Who overhears a day. */
    public interface EmulationListener {
        EmulationListener NONE = new EmulationListener() {};

        /** All that stand-ins on sockets would note, in order. */
        default void onEvent(TraceEvent event) {}

        default boolean wantsLog() {
            return false;
        }

        default void onLogLine(String line) {}

        /** Where a governor's capture of this life of its goes; null for none. */
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
     * Governors' stations as the script sets them up, with an overlay of records on each; null for
     * none.
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

    /** Plays a scripted day. */
    public static Result play(
            Scenario scenario,
            double durationMillis,
            List<GovernorConfig> governorConfigs,
            RoutingPolicy policy,
            EmulationListener listener) {
        scenario.check();
        double[] expectedRates = scenario.expectedLoads();
        return play(
                scenario,
                durationMillis,
                EmulatedFleet.endpointSpecs(scenario),
                governorConfigs,
                policy,
                proxy ->
                        new RandomDemand(
                                scenario.products(),
                                expectedRates[proxy],
                                scenario.seed() * 3000 + proxy),
                EmulatedFleet::scheduleScriptedFaults,
                scenario.seed(),
                listener);
    }

    static Result play(
            Scenario scenario,
            double durationMillis,
            List<EmulatedFleet.EndpointSpec> endpointSpecs,
            List<GovernorConfig> governorConfigs,
            RoutingPolicy policy,
            IntFunction<Demand> demand,
            EmulatedFleet.FaultPlan faultPlan,
            long seed,
            EmulationListener listener) {
        Emulation emulation = new Emulation(scenario, listener);
        EmulatedFleet fleet =
                new EmulatedFleet(
                        scenario,
                        durationMillis,
                        endpointSpecs,
                        governorConfigs,
                        policy,
                        demand,
                        faultPlan,
                        seed,
                        emulation::record,
                        listener);
        emulation.clientsStartAt = fleet.startsAt();
        long startedNanos = System.nanoTime();
        fleet.run();
        double elapsedMillis = (System.nanoTime() - startedNanos) / 1e6;
        List<Verdict> verdicts = emulation.ruleChecker.verdicts();
        Histogram inForce = new Histogram(600_000_000L, 3);
        int bugs = 0;
        for (EmulatedGovernor governor : fleet.governorNodes) {
            inForce.add(governor.inForce());
            bugs += governor.internalErrors();
        }
        double[] serviceByWindow =
                emulation.revenueByWindow.values().stream()
                        .mapToDouble(window -> window[1] == 0 ? 1 : window[0] / window[1])
                        .toArray();
        ScenarioRunner.ScenarioResult outcome =
                emulation.metrics.outcome(
                        policy.name().toLowerCase(Locale.ROOT),
                        durationMillis,
                        verdicts,
                        false,
                        0,
                        0,
                        List.of());
        return new Result(
                outcome,
                emulation.metrics.service(),
                outcome.figures().path("worst10s").asDouble(),
                serviceByWindow,
                emulation.hash,
                emulation.requests,
                emulation.metrics.attempts(),
                inForce.getValueAtPercentile(50) / 1000.0,
                inForce.getValueAtPercentile(99) / 1000.0,
                bugs,
                verdicts,
                elapsedMillis,
                fleet.samples(),
                fleet.peerBytes() * 1000 / durationMillis,
                fleet.peerPackets() * 1000 / durationMillis,
                fleet.governorNodes.stream().mapToDouble(EmulatedGovernor::peerHandlingMillis).sum()
                        * 1000
                        / durationMillis);
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
        } else if (event instanceof TraceEvent.MessageSent update) {
            mixIntoHash(update.nonce() * 31 + update.entries() * 7L + update.proxy());
        }
        listener.onEvent(event);
    }

    /** Adds a txn to its window's revenue, got and asked for. */
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
        hash = (hash ^ value) * 0x9E3779B97F4A7C15L;
        hash ^= hash >>> 29;
    }
}
