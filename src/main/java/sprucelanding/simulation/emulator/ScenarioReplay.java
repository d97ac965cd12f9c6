package sprucelanding.simulation.emulator;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.rng.sampling.distribution.SharedStateContinuousSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;
import sprucelanding.config.governor.GovernorConfig;
import sprucelanding.config.records.InvalidRecordsException;
import sprucelanding.replay.estimate.EndpointRecord;
import sprucelanding.replay.estimate.EstimatedFleet;
import sprucelanding.replay.estimate.EstimatedRequest;
import sprucelanding.simulation.scenario.Scenario;
import sprucelanding.simulation.scenario.ScenarioMetrics;

/**
 * Replay of a captured run. The demand, the endpoints, the faults and the endpoint list come from
 * the captures. The replay generates new attempts and retries. The capacity of machine kinds, the
 * clients' behaviour and the rules come from a scenario; the scenario's own faults and endpoints
 * are ignored.
 */
public final class ScenarioReplay {
    /** Relative error of an endpoint's capacity if the estimate gives no error. */
    private static final double DEFAULT_CAPACITY_ERROR = 0.3;

    private static final double MIN_CAPACITY_FACTOR = 0.3;

    private final Scenario scenario;
    private final CaptureFolderReader.CapturedRun captured;

    private ScenarioReplay(Scenario scenario, CaptureFolderReader.CapturedRun captured) {
        this.scenario = scenario;
        this.captured = captured;
    }

    /**
     * Reads a folder of captures.
     *
     * @throws IOException if the folder holds no capture, or a capture that cannot be read. The
     *     message gives the offset and the reason.
     */
    public static ScenarioReplay read(Path folder, Scenario scenario) throws IOException {
        return new ScenarioReplay(scenario, new CaptureFolderReader(folder, scenario).read());
    }

    /** Returns the fleet as estimated from the captures. */
    public EstimatedFleet fleet() {
        return captured.fleet();
    }

    /** Returns the defects of captures that could still be read. */
    public List<String> captureProblems() {
        return captured.problems();
    }

    /** Returns the metrics of the captured run; null if there is no ground truth. */
    public ScenarioMetrics originalMetrics() {
        return captured.originalMetrics();
    }

    /**
     * Returns the service in each window of 5 s of the captured run; empty if there is no ground
     * truth.
     */
    public double[] serviceByWindow() {
        return captured.serviceByWindow().clone();
    }

    /**
     * Returns the captured configurations of the governors, each with an overlay of settings.
     *
     * @param overlay text of the settings that override the configurations; null for none
     * @throws InvalidRecordsException if the overlay is invalid
     */
    public List<GovernorConfig> governorConfigs(String overlayName, String overlay)
            throws InvalidRecordsException {
        List<GovernorConfig> configs = new ArrayList<>();
        for (String text : captured.governorConfigs()) {
            configs.add(
                    GovernorConfig.parse(
                            "configuration of governor " + configs.size(),
                            text,
                            overlayName,
                            overlay));
        }
        return configs;
    }

    /**
     * Replays the run.
     *
     * @param run number of the replay: 0 replays with the estimated capacities; any other number
     *     with capacities drawn within the error of the estimate, and another seed
     */
    public Emulation.Result play(
            List<GovernorConfig> governors,
            RoutingPolicy policy,
            int run,
            Emulation.EmulationListener listener) {
        Map<Integer, List<EstimatedRequest>> requestsByProxy = new HashMap<>();
        for (EstimatedRequest request : captured.fleet().requests()) {
            requestsByProxy
                    .computeIfAbsent(request.proxyIndex(), ignored -> new ArrayList<>())
                    .add(request);
        }
        return Emulation.play(
                new FleetSpec(
                        scenario,
                        captured.fleet().durationMillis(),
                        endpointSpecs(run),
                        governors,
                        policy,
                        proxy ->
                                new CapturedDemand(
                                        requestsByProxy.getOrDefault(proxy, List.of()),
                                        scenario,
                                        scenario.seed() * 3000 + proxy),
                        new CapturedFaults(captured.fleet()),
                        scenario.seed() + 1000 * run),
                listener);
    }

    private List<EndpointSpec> endpointSpecs(int run) {
        EstimatedFleet fleet = captured.fleet();
        SharedStateContinuousSampler normal =
                ZigguratSampler.NormalizedGaussian.of(
                        RandomSource.SPLIT_MIX_64.create(scenario.seed() * 77 + run));
        double average =
                fleet.capacityByEndpoint().values().stream()
                        .mapToDouble(value -> value)
                        .average()
                        .orElse(1);
        Map<Long, EndpointRecord> recordsById = new TreeMap<>();
        fleet.endpointRecords()
                .forEach(record -> recordsById.putIfAbsent(record.endpointId(), record));
        List<EndpointSpec> endpointSpecs = new ArrayList<>();
        recordsById.forEach(
                (id, record) -> {
                    double workRate = fleet.capacityByEndpoint().getOrDefault(id, average);
                    double error =
                            fleet.capacityErrorByEndpoint()
                                    .getOrDefault(id, DEFAULT_CAPACITY_ERROR);
                    double factor =
                            run == 0
                                    ? 1
                                    : Math.max(MIN_CAPACITY_FACTOR, 1 + error * normal.sample());
                    int kind = record.type();
                    double speed = workRate * factor / scenario.kinds().get(kind).cores();
                    endpointSpecs.add(
                            new EndpointSpec(
                                    id,
                                    record.zone(),
                                    kind,
                                    EndpointSpec.capacity(scenario, kind, speed)));
                });
        return endpointSpecs;
    }

    /**
     * Compares a replay with the captured run in the windows of 5 s that both have.
     *
     * @param replayed service in each window of 5 s of the replay
     * @param tolerance difference of service up to which a window agrees
     * @return the number of windows, the number of windows that agree, and the largest difference
     */
    public double[] agreement(double[] replayed, double tolerance) {
        double[] serviceByWindow = captured.serviceByWindow();
        int count = Math.min(serviceByWindow.length, replayed.length);
        int withinTolerance = 0;
        double largestDifference = 0;
        for (int i = 0; i < count; i++) {
            double difference = Math.abs(serviceByWindow[i] - replayed[i]);
            withinTolerance += difference <= tolerance ? 1 : 0;
            largestDifference = Math.max(largestDifference, difference);
        }
        return new double[] {count, withinTolerance, largestDifference};
    }
}
