package sprucelanding.simulation.emulator;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import sprucelanding.config.governor.GovernorConfig;
import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.discovery.ListedEndpoint;
import sprucelanding.control.membership.PeerCodec;
import sprucelanding.replay.capture.RecordingInput;
import sprucelanding.simulation.model.EndpointModel;
import sprucelanding.simulation.model.LocalOutliers;
import sprucelanding.simulation.model.ProxyTables;
import sprucelanding.simulation.rules.TraceEvent;
import sprucelanding.simulation.scenario.FaultInjector;
import sprucelanding.simulation.scenario.FaultTarget;
import sprucelanding.simulation.scenario.Scenario;

/** All of a day: builds the fleet, does the troubles, and runs its clock. */
final class EmulatedFleet implements FaultTarget {
    static final double HOP_MILLIS = 0.15; // ms one way between two machines
    static final double NOTIFICATION_MILLIS = 1000;
    static final double EDIT_COMMIT_MILLIS = 6; // ms more until an edit's commit is confirmed
    static final double RESPONSE_TIMEOUT_MILLIS = 3000;
    private static final double EPOCH_MILLIS = 1_000_000; // 0 stands for long ago
    private static final double LEAD_MILLIS = 3000;
    private static final double SAMPLE_MILLIS = 1000;

    final Scenario scenario;
    final VirtualClock clock = new VirtualClock(EPOCH_MILLIS);
    final List<String> zones;
    final List<String> kinds;
    final List<String> requestClasses;
    final ProxyTables.Pick pick;
    final boolean admitsByRate;
    final EmulatedDiscovery discovery = new EmulatedDiscovery(this);
    final List<EmulatedEndpoint> endpoints = new ArrayList<>();
    final List<EmulatedGovernor> governorNodes = new ArrayList<>();
    private final List<EmulatedProxy> proxies = new ArrayList<>();
    private final List<EmulatedClients> clients = new ArrayList<>();
    private final Map<Long, EmulatedEndpoint> endpointsById = new HashMap<>();
    private final List<double[]> samples = new ArrayList<>();
    private final Set<Integer> cutZones = new HashSet<>();
    private final Consumer<TraceEvent> traceListener;
    private final Emulation.EmulationListener listener;
    private final RoutingPolicy policy;
    private final SplittableRandom random;
    private final int firstDevice;
    private final double durationMillis;
    private final FaultPlan faultPlan;
    private final Set<Integer> isolatedPeers = new HashSet<>();
    private final PeerCodec peerCodec =
            new PeerCodec(List.of(new byte[16])); // for their sizes only
    private final SplittableRandom peerRandom;
    private double peerLossShare;
    private long peerBytes;
    private long peerPackets;
    private double rateFactor = 1;
    private long lastRequestId;

    /** A replica that there is. */
    record EndpointSpec(long id, int zone, int kind, EndpointModel.Capacity capacity) {}

    /** What befalls the fleet: called once, before the clients begin. */
    interface FaultPlan {
        void schedule(EmulatedFleet fleet);
    }

    /**
     * @param stations by governor
     * @param demand by proxy
     * @param seed of what is not demand: picks, waits, failures
     * @param seen told all that stand-ins on sockets would note, in order
     */
    EmulatedFleet(
            Scenario scenario,
            double durationMillis,
            List<EndpointSpec> endpointSpecs,
            List<GovernorConfig> governorConfigs,
            RoutingPolicy policy,
            IntFunction<Demand> demand,
            FaultPlan faultPlan,
            long seed,
            Consumer<TraceEvent> traceListener,
            Emulation.EmulationListener listener) {
        this.scenario = scenario;
        this.durationMillis = durationMillis;
        this.policy = policy;
        this.faultPlan = faultPlan;
        this.traceListener = traceListener;
        this.listener = listener;
        this.random = new SplittableRandom(scenario.seed());
        this.peerRandom = new SplittableRandom(seed * 5000 + 1);
        this.zones = scenario.zones();
        this.kinds = scenario.kinds().stream().map(Scenario.EndpointKind::name).toList();
        this.requestClasses =
                scenario.products().stream().map(Scenario.RequestClassSettings::name).toList();
        this.pick =
                ProxyTables.Pick.valueOf(
                        scenario.proxies().pick().toUpperCase(java.util.Locale.ROOT));
        this.admitsByRate =
                !governorConfigs.isEmpty() && governorConfigs.get(0).admits().equals("rate");
        for (EndpointSpec spec : endpointSpecs) {
            EmulatedEndpoint endpoint =
                    new EmulatedEndpoint(
                            this,
                            endpoints.size(),
                            spec.id,
                            spec.zone,
                            spec.kind,
                            spec.capacity,
                            seed * 1000 + endpoints.size());
            endpoints.add(endpoint);
            endpointsById.put(endpoint.id, endpoint);
        }
        for (int governor = 0;
                policy == RoutingPolicy.GOVERNORS && governor < governorConfigs.size();
                governor++) {
            governorNodes.add(
                    new EmulatedGovernor(
                            this,
                            governor,
                            governor % zones.size(),
                            governorConfigs.get(governor)));
        }
        int count = scenario.proxies().count();
        firstDevice = count - (int) Math.round(scenario.proxies().devices() * count);
        double[] expectedRates = scenario.expectedLoads();
        for (int i = 0; i < count; i++) {
            ProxyStream.UpdateMode form =
                    i >= firstDevice
                            ? ProxyStream.UpdateMode.EDITS
                            : i < scenario.proxies().stateOfTheWorld() * count
                                    ? ProxyStream.UpdateMode.WHOLE
                                    : ProxyStream.UpdateMode.CHANGES;
            EmulatedProxy proxy =
                    new EmulatedProxy(
                            this,
                            i,
                            i % zones.size(),
                            expectedRates[i],
                            form,
                            governorsFor(i % zones.size(), i),
                            seed * 2000 + 2 * i);
            proxies.add(proxy);
            clients.add(new EmulatedClients(this, proxy, demand.apply(i), seed * 4000 + i));
        }
    }

    /** Plays all of it. */
    void run() {
        endpoints.forEach(endpoint -> endpoint.start(false));
        discovery.scheduleUpdate(endpoints, ListedEndpoint.State.READY, 0);
        governorNodes.forEach(EmulatedGovernor::start);
        clock.runUntil(EPOCH_MILLIS + 50);
        for (EmulatedProxy proxy : proxies) {
            List<EmulatedEndpoint> staticEndpoints = staticEndpoints(proxy.zone);
            clock.scheduleAfter(
                    startOffset(proxy.number) * 100, () -> proxy.start(staticEndpoints));
        }
        if (policy == RoutingPolicy.INVERSE || policy == RoutingPolicy.SEEING) {
            clock.scheduleAfter(200, this::setWeights);
        }
        faultPlan.schedule(this);
        clock.schedule(startsAt(), this::sample);
        clock.schedule(startsAt(), () -> clients.forEach(EmulatedClients::start));
        double longest =
                scenario.products().stream()
                        .mapToDouble(Scenario.RequestClassSettings::expiry)
                        .max()
                        .orElse(0);
        clock.runUntil(endsAt() + longest + 200);
    }

    private void sample() {
        double[] row = new double[1 + zones.size() + requestClasses.size() + 1];
        row[0] = (clock.now() - startsAt()) / 1000;
        int[] upCountByZone = new int[zones.size()];
        for (EmulatedEndpoint endpoint : endpoints) {
            if (endpoint.isUp()) {
                row[1 + endpoint.zone] += endpoint.utilization();
                upCountByZone[endpoint.zone]++;
            }
        }
        for (int zone = 0; zone < upCountByZone.length; zone++) {
            row[1 + zone] /= Math.max(1, upCountByZone[zone]);
        }
        for (int requestClass = 0; requestClass < requestClasses.size(); requestClass++) {
            for (EmulatedProxy proxy : proxies) {
                row[1 + upCountByZone.length + requestClass] +=
                        proxy.admittedShare(requestClass) / proxies.size();
            }
        }
        governorNodes.forEach(
                governor ->
                        row[row.length - 1] =
                                Math.max(
                                        row[row.length - 1],
                                        governor.takeLongestAcknowledgement()));
        samples.add(row);
        if (clock.now() < endsAt()) {
            clock.scheduleAfter(SAMPLE_MILLIS, this::sample);
        }
    }

    List<double[]> samples() {
        return samples;
    }

    /** The troubles of its script. */
    void scheduleScriptedFaults() {
        FaultInjector faultInjector = new FaultInjector(scenario, this, random);
        for (Scenario.Fault fault : scenario.allFaults()) {
            if (fault.at() < durationMillis) {
                clock.schedule(startsAt() + fault.at(), () -> faultInjector.inject(fault));
            }
        }
    }

    /** The replicas of a script. */
    static List<EndpointSpec> endpointSpecs(Scenario scenario) {
        List<EndpointSpec> specs = new ArrayList<>();
        for (int i = 0; i < scenario.replicas().count(); i++) {
            int kind = scenario.endpointKind(i);
            specs.add(
                    new EndpointSpec(
                            1000 + i,
                            i % scenario.zones().size(),
                            kind,
                            capacity(scenario, kind, scenario.kinds().get(kind).speed())));
        }
        return specs;
    }

    /** What a replica of a kind can do, at a speed of its own. */
    static EndpointModel.Capacity capacity(Scenario scenario, int kind, double speed) {
        Scenario.EndpointKind endpointKind = scenario.kinds().get(kind);
        return new EndpointModel.Capacity(
                endpointKind.cores(),
                speed,
                endpointKind.slots(),
                endpointKind.room(),
                scenario.replicas().coldFrom(),
                scenario.replicas().warmAfter(),
                scenario.replicas().connections());
    }

    private double startOffset(int proxy) {
        return (proxy * 0.6180339887) % 1;
    }

    /** When the clients begin and end, on the clock. */
    double startsAt() {
        return EPOCH_MILLIS + LEAD_MILLIS;
    }

    double endsAt() {
        return startsAt() + durationMillis;
    }

    double rate() {
        return rateFactor;
    }

    long nextRequestId() {
        return ++lastRequestId;
    }

    boolean isIdempotent(int requestClass) {
        return scenario.products().get(requestClass).retry().equals("safe");
    }

    EmulatedEndpoint endpoint(long id) {
        return endpointsById.get(id);
    }

    LocalOutliers<EmulatedEndpoint> newLocalOutliers() {
        return new LocalOutliers<>(
                scenario.proxies().ejectsAfter(), scenario.proxies().ejectsFor());
    }

    void record(TraceEvent event) {
        traceListener.accept(event);
    }

    void log(int governor, String text, Object... figures) {
        if (listener.wantsLog()) {
            StringBuilder logLine =
                    new StringBuilder(
                            String.format(
                                    java.util.Locale.ROOT,
                                    "%10.3f governor %d: %s",
                                    (clock.now() - startsAt()) / 1000,
                                    governor,
                                    text));
            for (int i = 0; i + 1 < figures.length; i += 2) {
                logLine.append(' ').append(figures[i]).append('=').append(figures[i + 1]);
            }
            listener.onLogLine(logLine.toString());
        }
    }

    RecordingInput.Sink capture(int governor, int incarnation) {
        return listener.openCapture(governor, incarnation);
    }

    boolean isOpen(int fromZone, int toZone) {
        return fromZone == toZone
                || cutZones.isEmpty()
                || !cutZones.contains(fromZone) && !cutZones.contains(toZone);
    }

    void clearIdleConnections(EmulatedEndpoint endpoint) {
        proxies.forEach(proxy -> proxy.clearIdleConnections(endpoint));
    }

    /** Governors of its own zone first. */
    private List<EmulatedGovernor> governorsFor(int zone, int seed) {
        List<EmulatedGovernor> sameZone = new ArrayList<>();
        List<EmulatedGovernor> otherZones = new ArrayList<>();
        governorNodes.forEach(
                governor -> (governor.zone == zone ? sameZone : otherZones).add(governor));
        Collections.shuffle(
                sameZone,
                new Random(seed * 0x9E3779B97F4A7C15L)); // seeds in a row alone would shuffle alike
        Collections.shuffle(otherZones, new Random(seed));
        sameZone.addAll(otherZones);
        return sameZone;
    }

    private List<EmulatedEndpoint> staticEndpoints(int zone) {
        List<EmulatedEndpoint> candidates =
                new ArrayList<>(
                        endpoints.stream()
                                .filter(
                                        endpoint ->
                                                policy == RoutingPolicy.EVEN
                                                        || endpoint.zone == zone)
                                .toList());
        Collections.shuffle(candidates, new Random(random.nextLong()));
        int count =
                policy == RoutingPolicy.EVEN
                        ? candidates.size()
                        : Math.min(scenario.proxies().standing(), candidates.size());
        return List.copyOf(candidates.subList(0, count));
    }

    /** A baseline's tables, for all proxies at once. */
    private void setWeights() {
        Map<EmulatedEndpoint, Double> weights = new LinkedHashMap<>();
        for (EmulatedEndpoint endpoint : endpoints) {
            double weight =
                    policy == RoutingPolicy.SEEING
                            ? endpoint.maxWorkRate()
                            : endpoint.isUp() ? 1 / Math.max(0.05, endpoint.utilization()) : 0;
            if (weight > 0) {
                weights.put(endpoint, weight);
            }
        }
        proxies.forEach(proxy -> proxy.setWeights(weights));
        clock.scheduleAfter(SAMPLE_MILLIS, this::setWeights);
    }

    // What troubles can do here.

    @Override
    public int endpointCount() {
        return endpoints.size();
    }

    @Override
    public int proxyCount() {
        return proxies.size();
    }

    @Override
    public int deviceCount() {
        return proxies.size() - firstDevice;
    }

    @Override
    public int governorCount() {
        return governorNodes.size();
    }

    @Override
    public int endpointZone(int endpoint) {
        return endpoints.get(endpoint).zone;
    }

    @Override
    public int proxyZone(int proxy) {
        return proxies.get(proxy).zone;
    }

    @Override
    public int governorZone(int governor) {
        return governorNodes.get(governor).zone;
    }

    @Override
    public void schedule(double millis, Runnable task) {
        clock.scheduleAfter(millis, task);
    }

    @Override
    public void crashEndpoint(int endpoint) {
        endpoints.get(endpoint).crash();
    }

    @Override
    public void startEndpoint(int endpoint) {
        endpoints.get(endpoint).start(true);
    }

    @Override
    public boolean isEndpointUp(int endpoint) {
        return endpoints.get(endpoint).isUp();
    }

    @Override
    public void setEndpointHanging(int endpoint, boolean enabled) {
        endpoints.get(endpoint).update(model -> model.setHung(enabled));
    }

    @Override
    public void setEndpointSlowdown(int endpoint, double factor) {
        endpoints.get(endpoint).update(model -> model.setSlowdown(factor));
    }

    @Override
    public void setEndpointFailureShare(int endpoint, double share) {
        endpoints.get(endpoint).setFailureShare(share);
    }

    @Override
    public void setEndpointPaused(int endpoint, boolean enabled) {
        endpoints.get(endpoint).update(model -> model.setPaused(enabled));
    }

    @Override
    public void setEndpointOccupiedShare(int endpoint, double share) {
        endpoints.get(endpoint).update(model -> model.setStolenShare(share));
    }

    @Override
    public void limitEndpointConnections(int endpoint, int limit) {
        endpoints.get(endpoint).setConnectionLimit(limit);
    }

    @Override
    public void setEndpointUnreachableFrom(int endpoint, int zone) {
        endpoints.get(endpoint).ignoreZone(zone);
    }

    @Override
    public void announceToDiscovery(
            List<Integer> endpointIndexes, ListedEndpoint.State stage, double afterMillis) {
        discovery.scheduleUpdate(
                endpointIndexes.stream().map(endpoints::get).toList(), stage, afterMillis);
    }

    @Override
    public void delayDiscovery(double millis) {
        discovery.setDelay(millis);
    }

    @Override
    public void restartDiscovery() {
        discovery.restart();
    }

    @Override
    public void setZoneCut(int zone, boolean enabled) {
        if (enabled) {
            cutZones.add(zone);
        } else {
            cutZones.remove(zone);
        }
        governorNodes.forEach(
                governor ->
                        Set.copyOf(governor.streams).forEach(EmulatedStream::connectivityChanged));
    }

    @Override
    public void setRequestRateFactor(double factor) {
        rateFactor = factor;
    }

    @Override
    public void crashProxy(int proxy) {
        proxies.get(proxy).crash();
    }

    @Override
    public void startProxy(int proxy) {
        proxies.get(proxy).start(staticEndpoints(proxies.get(proxy).zone));
    }

    @Override
    public void setProxyIsolated(int proxy, boolean enabled) {
        proxies.get(proxy).setIsolated(enabled);
    }

    @Override
    public void delayProxyAcknowledgements(int proxy, double millis) {
        proxies.get(proxy).responseDelayMillis = millis;
    }

    @Override
    public void rejectProxyMessages(int proxy, int messages) {
        proxies.get(proxy).rejectNext(messages);
    }

    @Override
    public void setProxyReadStopped(int proxy, boolean enabled) {
        proxies.get(proxy).setReadsPaused(enabled);
    }

    @Override
    public void killGovernor(int governor) {
        governorNodes.get(governor).crash();
    }

    @Override
    public void startGovernor(int governor) {
        governorNodes.get(governor).start();
    }

    @Override
    public void setGovernorPaused(int governor, boolean enabled) {
        governorNodes.get(governor).setPaused(enabled);
    }

    @Override
    public void stopGovernor(int governor) {
        governorNodes.get(governor).stopGracefully();
    }

    @Override
    public void setGovernorCut(int governor, boolean enabled) {
        governorNodes.get(governor).isolated(enabled);
    }

    @Override
    public void setPeersCut(int governor, boolean enabled) {
        if (enabled) {
            isolatedPeers.add(governor);
        } else {
            isolatedPeers.remove(governor);
        }
    }

    @Override
    public void setPeerLossShare(double share) {
        peerLossShare = share;
    }

    @Override
    public void faultInjected(int governor, String fault) {
        record(new TraceEvent.FaultInjected(clock.now(), governor, fault));
    }

    /** From one governor to another, or to all: -1. */
    void sendToPeers(int sender, int recipient, Object message) {
        int size = peerCodec.encode(message).length;
        for (EmulatedGovernor governor : governorNodes) {
            if (governor.number != sender && (recipient < 0 || recipient == governor.number)) {
                peerBytes += size;
                peerPackets++;
                if (isOpen(governorNodes.get(sender).zone, governor.zone)
                        && !isolatedPeers.contains(sender)
                        && !isolatedPeers.contains(governor.number)
                        && peerRandom.nextDouble() >= peerLossShare) {
                    clock.scheduleAfter(
                            HOP_MILLIS + peerRandom.nextDouble(),
                            () -> governor.onPeerMessage(message));
                }
            }
        }
    }

    long peerBytes() {
        return peerBytes;
    }

    long peerPackets() {
        return peerPackets;
    }

    @Override
    public void holdDeviceLock(int device, double millis) {
        EmulatedProxy proxy = proxies.get(firstDevice + device);
        proxy.responseDelayMillis = millis;
        clock.scheduleAfter(millis, () -> proxy.responseDelayMillis = 0);
    }

    @Override
    public void muteDevice(int device, int responses) {
        proxies.get(firstDevice + device).dropResponses(responses);
    }

    @Override
    public void driftDevice(int device) {
        proxies.get(firstDevice + device).driftConfiguration();
    }

    @Override
    public void breakConnectionAfter(int governor, int zone, int bytes) {
        governorNodes.get(governor).breakStreamsAfter(zone, bytes);
    }
}
