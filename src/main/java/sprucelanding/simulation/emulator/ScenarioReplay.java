package sprucelanding.simulation.emulator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;
import sprucelanding.config.governor.GovernorConfig;
import sprucelanding.config.records.InvalidRecordsException;
import sprucelanding.control.decision.EndpointState;
import sprucelanding.control.discovery.ListedEndpoint;
import sprucelanding.replay.capture.Capture;
import sprucelanding.replay.capture.CaptureEvent;
import sprucelanding.replay.capture.EventType;
import sprucelanding.replay.estimate.EndpointRecord;
import sprucelanding.replay.estimate.EstimatedFleet;
import sprucelanding.replay.estimate.EstimatedRequest;
import sprucelanding.replay.estimate.FaultInterval;
import sprucelanding.replay.estimate.FleetEstimator;
import sprucelanding.simulation.rules.TraceEvent;
import sprucelanding.simulation.scenario.Scenario;
import sprucelanding.simulation.scenario.ScenarioMetrics;

/**
 * A captured day played again: demand, replicas, outages and the list as captures tell; tries and
 * repeats arise anew. What the machines are, how clients behave and the rules come from a day's
 * script, whose own troubles and replicas are left alone.
 */
public final class ScenarioReplay {
    private static final Pattern FILE_NAME = Pattern.compile("governor-(\\d+)\\.cap(?:\\.(\\d+))?");

    private final Scenario scenario;
    private final EstimatedFleet fleet;
    private final List<String> governorConfigs;
    private final List<String> captureProblems;
    private final ScenarioMetrics original;
    private final double[] serviceByWindow;

    /** What a captured file is: whose, and which life of its; the newest has no number. */
    private record CaptureFile(int governor, int incarnation, Path file) {}

    private ScenarioReplay(
            Scenario scenario,
            EstimatedFleet fleet,
            List<String> governorConfigs,
            List<String> captureProblems,
            ScenarioMetrics original,
            double[] windows) {
        this.scenario = scenario;
        this.fleet = fleet;
        this.governorConfigs = governorConfigs;
        this.captureProblems = captureProblems;
        this.original = original;
        this.serviceByWindow = windows;
    }

    /**
     * Throws IOException for a folder that holds no capture, or one that cannot be read, with
     * offset and reason.
     */
    public static ScenarioReplay read(Path folder, Scenario scenario) throws IOException {
        List<CaptureFile> parts = new ArrayList<>();
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Matcher fileName = FILE_NAME.matcher(file.getFileName().toString());
                if (fileName.matches()) {
                    parts.add(
                            new CaptureFile(
                                    Integer.parseInt(fileName.group(1)),
                                    fileName.group(2) == null
                                            ? Integer.MAX_VALUE
                                            : Integer.parseInt(fileName.group(2)),
                                    file));
                }
            }
        }
        if (parts.isEmpty()) {
            throw new IOException(folder + ": no capture there, such as governor-0.cap");
        }
        parts.sort(
                Comparator.comparingInt(CaptureFile::governor)
                        .thenComparingInt(CaptureFile::incarnation));
        FleetEstimator estimate =
                new FleetEstimator(
                        scenario.products().stream()
                                .mapToDouble(Scenario.RequestClassSettings::work)
                                .toArray(),
                        scenario.zones().size());
        Map<Integer, String> configsByGovernor = new TreeMap<>();
        List<String> captureProblems = new ArrayList<>();
        for (CaptureFile part : parts) {
            Capture capture = read(part.file, captureProblems);
            estimate.startIncarnation(part.governor);
            capture.forEachEvent(event -> estimate.onEvent(part.governor, event));
            capture.gaps()
                    .forEach(
                            gap ->
                                    captureProblems.add(
                                            part.file.getFileName()
                                                    + ": "
                                                    + gap.events()
                                                    + " events were dropped"));
            configsByGovernor.put(part.governor, capture.configText());
        }
        ScenarioMetrics original = null;
        TreeMap<Integer, double[]> windows = new TreeMap<>();
        Path truthFile = folder.resolve("truth.cap");
        if (Files.exists(truthFile)) {
            original = new ScenarioMetrics(scenario);
            ScenarioMetrics metrics = original;
            double[] startedAt = {Double.NaN};
            read(truthFile, captureProblems)
                    .forEachEvent(
                            event -> {
                                if (event != null) {
                                    startedAt[0] =
                                            Double.isNaN(startedAt[0]) ? event.at() : startedAt[0];
                                    estimate.truth(event);
                                    recordTruth(event, metrics, windows, startedAt[0], scenario);
                                }
                            });
        }
        return new ScenarioReplay(
                scenario,
                estimate.estimate(),
                List.copyOf(configsByGovernor.values()),
                captureProblems,
                original,
                windows.values().stream().mapToDouble(window -> window[0] / window[1]).toArray());
    }

    private static Capture read(Path file, List<String> captureProblems) throws IOException {
        try {
            Capture capture = Capture.read(file);
            if (capture.truncation() != null) {
                captureProblems.add(
                        file.getFileName() + " ends before the file does: " + capture.truncation());
            }
            return capture;
        } catch (IOException event) {
            throw new IOException(file + ": " + event.getMessage(), event);
        }
    }

    private static void recordTruth(
            CaptureEvent event,
            ScenarioMetrics metrics,
            TreeMap<Integer, double[]> windows,
            double startedAt,
            Scenario scenario) {
        if (event.type() == EventType.ENDED) {
            TraceEvent.RequestEnded ended =
                    new TraceEvent.RequestEnded(
                            event.doubleAt(0),
                            event.intAt(1),
                            event.longAt(2),
                            TraceEvent.RequestOutcome.values()[event.intAt(3)],
                            event.doubleAt(4));
            metrics.record(ended);
            Emulation.addToWindow(windows, ended, startedAt, scenario);
        } else if (event.type() == EventType.RAN) {
            metrics.record(
                    new TraceEvent.AttemptSent(
                            event.doubleAt(0),
                            event.intAt(3),
                            event.longAt(1),
                            event.intAt(2),
                            0,
                            event.intAt(4),
                            0));
        }
    }

    public EstimatedFleet fleet() {
        return fleet;
    }

    /** What is wrong with the captures, though they could be read. */
    public List<String> captureProblems() {
        return captureProblems;
    }

    /** What stand-ins measured then; null if they left nothing. */
    public ScenarioMetrics original() {
        return original;
    }

    /** Service by 5 s as measured then; empty if it is not known. */
    public double[] serviceByWindow() {
        return serviceByWindow.clone();
    }

    /** Governors' stations as they were, with an overlay on each. */
    public List<GovernorConfig> governorConfigs(String overlayName, String overlay)
            throws InvalidRecordsException {
        List<GovernorConfig> configs = new ArrayList<>();
        for (int governor = 0; governor < governorConfigs.size(); governor++) {
            configs.add(
                    GovernorConfig.parse(
                            "station of governor " + governor,
                            governorConfigs.get(governor),
                            overlayName,
                            overlay));
        }
        return configs;
    }

    /**
     * Plays it again.
     *
     * @param run 0: as estimated; others: replicas as they may have been as well, within the
     *     estimate's error, and other chances
     */
    public Emulation.Result play(
            List<GovernorConfig> governors,
            RoutingPolicy policy,
            int run,
            Emulation.EmulationListener listener) {
        var normal =
                ZigguratSampler.NormalizedGaussian.of(
                        RandomSource.SPLIT_MIX_64.create(scenario.seed() * 77 + run));
        double average =
                fleet.capacityByEndpoint().values().stream()
                        .mapToDouble(value -> value)
                        .average()
                        .orElse(1);
        List<EmulatedFleet.EndpointSpec> endpointSpecs = new ArrayList<>();
        Map<Long, EndpointRecord> recordsById = new TreeMap<>();
        fleet.endpointRecords()
                .forEach(record -> recordsById.putIfAbsent(record.endpointId(), record));
        recordsById.forEach(
                (id, record) -> {
                    double workRate = fleet.capacityByEndpoint().getOrDefault(id, average);
                    double error = fleet.capacityErrorByEndpoint().getOrDefault(id, 0.3);
                    double factor = run == 0 ? 1 : Math.max(0.3, 1 + error * normal.sample());
                    endpointSpecs.add(
                            new EmulatedFleet.EndpointSpec(
                                    id,
                                    record.zone(),
                                    record.type(),
                                    EmulatedFleet.capacity(
                                            scenario,
                                            record.type(),
                                            workRate
                                                    * factor
                                                    / scenario.kinds()
                                                            .get(record.type())
                                                            .cores())));
                });
        Map<Integer, List<EstimatedRequest>> byProxy = new HashMap<>();
        fleet.requests()
                .forEach(
                        request ->
                                byProxy.computeIfAbsent(request.proxy(), value -> new ArrayList<>())
                                        .add(request));
        return Emulation.play(
                scenario,
                fleet.durationMillis(),
                endpointSpecs,
                governors,
                policy,
                proxy ->
                        new CapturedDemand(
                                byProxy.getOrDefault(proxy, List.of()),
                                scenario,
                                scenario.seed() * 3000 + proxy),
                this::scheduleFaults,
                scenario.seed() + 1000 * run,
                listener);
    }

    private void scheduleFaults(EmulatedFleet target) {
        Map<Long, Integer> indexById = new HashMap<>();
        for (int index = 0; index < target.endpoints.size(); index++) {
            indexById.put(target.endpoints.get(index).id, index);
        }
        double startsAt = target.startsAt();
        for (EndpointRecord record : fleet.endpointRecords()) {
            Integer endpoint = indexById.get(record.endpointId());
            if (record.at() > 0 && endpoint != null) {
                target.clock.schedule(
                        startsAt + record.at(),
                        () ->
                                target.announceToDiscovery(
                                        List.of(endpoint),
                                        switch (record.state()) {
                                            case AVAILABLE -> ListedEndpoint.State.READY;
                                            case DRAINING -> ListedEndpoint.State.DRAINING;
                                            default -> ListedEndpoint.State.GONE;
                                        },
                                        0));
                if (record.state() == EndpointState.GONE
                        && fleet.faults().stream()
                                .noneMatch(
                                        interval ->
                                                interval.subject() == record.endpointId()
                                                        && interval.type()
                                                                == FaultInterval.FaultType.DOWN
                                                        && interval.from() < record.at() + 1
                                                        && interval.to() > record.at() - 1)
                        && fleet.endpointRecords().stream()
                                .noneMatch(
                                        later ->
                                                later.endpointId() == record.endpointId()
                                                        && later.at() > record.at())) {
                    target.clock.schedule(
                            startsAt + record.at(),
                            () -> target.crashEndpoint(endpoint)); // it left for good
                }
            }
        }
        for (FaultInterval interval : fleet.faults()) {
            Integer endpoint = indexById.get(interval.subject());
            Runnable begin = null;
            Runnable finish = null;
            switch (interval.type()) {
                case DOWN -> {
                    begin = () -> target.crashEndpoint(endpoint);
                    finish = () -> target.startEndpoint(endpoint);
                }
                case SILENT -> {
                    begin = () -> target.setEndpointHanging(endpoint, true);
                    finish = () -> target.setEndpointHanging(endpoint, false);
                }
                case SLOWER -> {
                    begin = () -> target.setEndpointSlowdown(endpoint, interval.severity());
                    finish = () -> target.setEndpointSlowdown(endpoint, 1);
                }
                case FAILS -> {
                    begin = () -> target.setEndpointFailureShare(endpoint, interval.severity());
                    finish = () -> target.setEndpointFailureShare(endpoint, 0);
                }
                case CUT -> {
                    begin = () -> target.setZoneCut((int) interval.subject(), true);
                    finish = () -> target.setZoneCut((int) interval.subject(), false);
                }
                case GOVERNOR_DEAD -> {
                    begin = () -> applyGovernorFault(target, interval, true, false);
                    finish = () -> applyGovernorFault(target, interval, false, false);
                }
                default -> {
                    begin = () -> applyGovernorFault(target, interval, true, true);
                    finish = () -> applyGovernorFault(target, interval, false, true);
                }
            }
            boolean concernsEndpoint = interval.type().compareTo(FaultInterval.FaultType.CUT) < 0;
            if (!concernsEndpoint || endpoint != null) {
                double leadMillis =
                        interval.type() == FaultInterval.FaultType.GOVERNOR_DEAD
                                ? EmulatedGovernor.START_MILLIS
                                : 0;
                target.clock.schedule(startsAt + interval.from(), begin);
                target.clock.schedule(
                        startsAt + Math.max(interval.from(), interval.to() - leadMillis), finish);
            }
        }
    }

    private static void applyGovernorFault(
            EmulatedFleet fleet, FaultInterval interval, boolean begins, boolean pause) {
        int governor = (int) interval.subject();
        if (governor >= fleet.governorCount()) {
            return; // a policy without governors
        }
        if (pause) {
            fleet.setGovernorPaused(governor, begins);
        } else if (begins) {
            fleet.killGovernor(governor);
        } else {
            fleet.startGovernor(governor);
        }
    }

    /** Demand as it was captured; works that are not known are drawn. */
    private static final class CapturedDemand implements Demand {
        private final List<EstimatedRequest> requests;
        private final Scenario scenario;
        private final SplittableRandom workRandom;
        private int nextIndex;

        CapturedDemand(List<EstimatedRequest> asked, Scenario scenario, long seed) {
            this.requests = asked;
            this.scenario = scenario;
            this.workRandom = new SplittableRandom(seed);
        }

        @Override
        public Arrival nextArrival(double afterMillis, double factor) {
            if (nextIndex >= requests.size()) {
                return null;
            }
            EstimatedRequest request = requests.get(nextIndex++);
            double work =
                    Double.isNaN(request.workMillis())
                            ? -Math.log(1 - workRandom.nextDouble())
                                    * scenario.products().get(request.requestClass()).work()
                            : request.workMillis();
            return new Arrival(Math.max(0, request.at()), request.requestClass(), work);
        }
    }

    /**
     * Of the 5 s windows that both have: how many there are, how many are within so much of each
     * other, the most that one is off.
     */
    public double[] agreement(double[] replayed, double tolerance) {
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
