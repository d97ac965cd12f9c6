package sprucelanding.simulation.emulator;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import sprucelanding.config.governor.GovernorConfig;
import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.discovery.ListedEndpoint;
import sprucelanding.replay.capture.RecordingInput;
import sprucelanding.simulation.model.LocalOutliers;
import sprucelanding.simulation.model.ProxyTables;
import sprucelanding.simulation.rules.TraceEvent;
import sprucelanding.simulation.scenario.FaultInjector;
import sprucelanding.simulation.scenario.FaultTarget;
import sprucelanding.simulation.scenario.Scenario;

/**
 * Fleet of all parties of a run on one virtual clock. Builds the parties, plays the run, and gives
 * the parties access to what they share: clock, scenario, network and trace.
 */
final class EmulatedFleet {
    /**
     * Time at which the clock starts. The time is above 0 because a start time of 0 stands for a
     * process that has already warmed up.
     */
    private static final double CLOCK_START_MILLIS = 1_000_000;

    /** Time from the start of the governors until the clients start. */
    private static final double CLIENT_START_DELAY_MILLIS = 3000;

    /** Time until the governors have started and proxies may connect. */
    private static final double PROXY_START_DELAY_MILLIS = 50;

    /** Time over which the starts of the proxies are spread. */
    private static final double PROXY_START_SPREAD_MILLIS = 100;

    /** Time from the last request's expiry until the run ends. */
    private static final double END_DELAY_MILLIS = 200;

    private static final double GOLDEN_RATIO_FRACTION = 0.6180339887;

    /** Factor that spreads consecutive seeds, which would otherwise give similar shuffles. */
    private static final long SEED_SPREAD = 0x9E3779B97F4A7C15L;

    final Scenario scenario;
    final VirtualClock clock = new VirtualClock(CLOCK_START_MILLIS);
    final List<String> zones;
    final List<String> kinds;
    final List<String> requestClasses;
    final ProxyTables.Pick pick;

    /** Whether admission levels are rates instead of shares. */
    final boolean admitsByRate;

    final EmulatedDiscovery discovery = new EmulatedDiscovery(this);
    final List<EmulatedEndpoint> endpoints = new ArrayList<>();
    final List<EmulatedGovernor> governors = new ArrayList<>();
    final EmulatedNetwork network;
    private final FleetSpec spec;
    private final List<EmulatedProxy> proxies = new ArrayList<>();
    private final List<EmulatedClients> clients = new ArrayList<>();
    private final Map<Long, EmulatedEndpoint> endpointsById = new HashMap<>();
    private final Consumer<TraceEvent> traceListener;
    private final Emulation.EmulationListener listener;
    private final SplittableRandom random;
    private final BaselineTables baselineTables;
    private final FleetSampler fleetSampler;
    private final EmulatedFaultTarget faultTarget;
    private double requestRateFactor = 1;
    private long lastRequestId;

    /**
     * Builds a fleet without starting any party.
     *
     * @param traceListener receives all events that simulated parties on sockets would record, in
     *     order of time
     * @param listener receives log lines and captures
     */
    EmulatedFleet(
            FleetSpec spec,
            Consumer<TraceEvent> traceListener,
            Emulation.EmulationListener listener) {
        this.spec = spec;
        this.scenario = spec.scenario();
        this.traceListener = traceListener;
        this.listener = listener;
        this.random = new SplittableRandom(scenario.seed());
        this.zones = scenario.zones();
        this.kinds = scenario.kinds().stream().map(Scenario.EndpointKind::name).toList();
        this.requestClasses =
                scenario.products().stream().map(Scenario.RequestClassSettings::name).toList();
        this.pick = ProxyTables.Pick.valueOf(scenario.proxies().pick().toUpperCase(Locale.ROOT));
        List<GovernorConfig> configs = spec.governorConfigs();
        this.admitsByRate = !configs.isEmpty() && configs.get(0).admits().equals("rate");
        this.network = new EmulatedNetwork(clock, governors, spec.seed() * 5000 + 1);
        this.baselineTables = new BaselineTables(this, spec.policy(), proxies, random);
        this.fleetSampler = new FleetSampler(this, proxies);
        buildEndpoints();
        if (spec.policy() == RoutingPolicy.GOVERNORS) {
            buildGovernors();
        }
        int proxyCount = scenario.proxies().count();
        int firstDeviceIndex =
                proxyCount - (int) Math.round(scenario.proxies().devices() * proxyCount);
        buildProxies(proxyCount, firstDeviceIndex);
        this.faultTarget = new EmulatedFaultTarget(this, proxies, firstDeviceIndex, baselineTables);
    }

    private void buildEndpoints() {
        for (EndpointSpec endpointSpec : spec.endpointSpecs()) {
            int number = endpoints.size();
            EmulatedEndpoint endpoint =
                    new EmulatedEndpoint(this, number, endpointSpec, spec.seed() * 1000 + number);
            endpoints.add(endpoint);
            endpointsById.put(endpoint.id, endpoint);
        }
    }

    private void buildGovernors() {
        for (GovernorConfig config : spec.governorConfigs()) {
            int number = governors.size();
            governors.add(new EmulatedGovernor(this, number, number % zones.size(), config));
        }
    }

    private void buildProxies(int count, int firstDeviceIndex) {
        double[] expectedRates = scenario.expectedLoads();
        for (int i = 0; i < count; i++) {
            int zone = i % zones.size();
            EmulatedProxy proxy =
                    new EmulatedProxy(
                            this,
                            i,
                            zone,
                            expectedRates[i],
                            updateMode(i, count, firstDeviceIndex),
                            governorsFor(zone, i),
                            spec.seed() * 2000 + 2 * i);
            proxies.add(proxy);
            clients.add(
                    new EmulatedClients(
                            this, proxy, spec.demand().apply(i), spec.seed() * 4000 + i));
        }
    }

    private ProxyStream.UpdateMode updateMode(int proxy, int count, int firstDeviceIndex) {
        if (proxy >= firstDeviceIndex) {
            return ProxyStream.UpdateMode.TRANSACTIONAL;
        }
        return proxy < scenario.proxies().stateOfTheWorld() * count
                ? ProxyStream.UpdateMode.STATE_OF_THE_WORLD
                : ProxyStream.UpdateMode.INCREMENTAL;
    }

    /**
     * Returns the governors in the order in which a proxy connects to them: first the governors of
     * the proxy's own zone.
     */
    private List<EmulatedGovernor> governorsFor(int zone, int seed) {
        List<EmulatedGovernor> sameZone = new ArrayList<>();
        List<EmulatedGovernor> otherZones = new ArrayList<>();
        governors.forEach(
                governor -> (governor.zone == zone ? sameZone : otherZones).add(governor));
        Collections.shuffle(sameZone, new Random(seed * SEED_SPREAD));
        Collections.shuffle(otherZones, new Random(seed));
        sameZone.addAll(otherZones);
        return sameZone;
    }

    /** Plays the run from the start of all parties until the last request has ended or expired. */
    void run() {
        endpoints.forEach(EmulatedEndpoint::startWarm);
        discovery.scheduleUpdate(endpoints, ListedEndpoint.State.READY, 0);
        governors.forEach(EmulatedGovernor::start);
        clock.runUntil(CLOCK_START_MILLIS + PROXY_START_DELAY_MILLIS);
        for (EmulatedProxy proxy : proxies) {
            List<EmulatedEndpoint> staticEndpoints = baselineTables.staticEndpoints(proxy.zone);
            clock.scheduleAfter(
                    startOffset(proxy.number) * PROXY_START_SPREAD_MILLIS,
                    () -> proxy.start(staticEndpoints));
        }
        baselineTables.start();
        spec.faultPlan().schedule(this);
        clock.schedule(startsAt(), fleetSampler::sample);
        clock.schedule(startsAt(), () -> clients.forEach(EmulatedClients::start));
        double longestExpiryMillis =
                scenario.products().stream()
                        .mapToDouble(Scenario.RequestClassSettings::expiry)
                        .max()
                        .orElse(0);
        clock.runUntil(endsAt() + longestExpiryMillis + END_DELAY_MILLIS);
    }

    /**
     * Returns the offset of a proxy's start. The offsets of all proxies are spread evenly from 0 to
     * 1.
     */
    private static double startOffset(int proxy) {
        return (proxy * GOLDEN_RATIO_FRACTION) % 1;
    }

    /** Schedules the faults of the scenario. */
    void scheduleScriptedFaults() {
        FaultInjector faultInjector = new FaultInjector(scenario, faultTarget, random);
        for (Scenario.Fault fault : scenario.allFaults()) {
            if (fault.at() < spec.durationMillis()) {
                clock.schedule(startsAt() + fault.at(), () -> faultInjector.inject(fault));
            }
        }
    }

    /** Returns the target through which faults are injected into this fleet. */
    FaultTarget faultTarget() {
        return faultTarget;
    }

    List<double[]> samples() {
        return fleetSampler.samples();
    }

    /** Returns the time on the virtual clock at which the clients start. */
    double startsAt() {
        return CLOCK_START_MILLIS + CLIENT_START_DELAY_MILLIS;
    }

    /** Returns the time on the virtual clock at which the clients stop sending requests. */
    double endsAt() {
        return startsAt() + spec.durationMillis();
    }

    double requestRateFactor() {
        return requestRateFactor;
    }

    void setRequestRateFactor(double factor) {
        requestRateFactor = factor;
    }

    long nextRequestId() {
        return ++lastRequestId;
    }

    boolean isIdempotent(int requestClass) {
        return scenario.products().get(requestClass).retry().equals("safe");
    }

    /** Returns the endpoint with this id; null if there is none. */
    EmulatedEndpoint endpoint(long endpointId) {
        return endpointsById.get(endpointId);
    }

    LocalOutliers<EmulatedEndpoint> newLocalOutliers() {
        return new LocalOutliers<>(
                scenario.proxies().ejectsAfter(), scenario.proxies().ejectsFor());
    }

    void clearIdleConnections(EmulatedEndpoint endpoint) {
        proxies.forEach(proxy -> proxy.clearIdleConnections(endpoint));
    }

    void record(TraceEvent event) {
        traceListener.accept(event);
    }

    /**
     * Logs a line for a governor.
     *
     * @param figures alternating keys and values
     */
    void log(int governor, String text, Object... figures) {
        if (!listener.wantsLog()) {
            return;
        }
        StringBuilder logLine =
                new StringBuilder(
                        String.format(
                                Locale.ROOT,
                                "%10.3f governor %d: %s",
                                (clock.now() - startsAt()) / 1000,
                                governor,
                                text));
        for (int i = 0; i + 1 < figures.length; i += 2) {
            logLine.append(' ').append(figures[i]).append('=').append(figures[i + 1]);
        }
        listener.onLogLine(logLine.toString());
    }

    /** Opens the sink for the capture of a governor's incarnation; null for no capture. */
    RecordingInput.Sink openCapture(int governor, int incarnation) {
        return listener.openCapture(governor, incarnation);
    }
}
