package sprucelanding.simulation.emulator;

import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import sprucelanding.config.governor.GovernorComponents;
import sprucelanding.config.governor.GovernorConfig;
import sprucelanding.control.core.DirectInput;
import sprucelanding.control.core.GovernorCore;
import sprucelanding.control.core.InputListener;
import sprucelanding.control.core.SharedGovernorCore;
import sprucelanding.control.decision.HealthCheckResult;
import sprucelanding.control.decision.RoutingController;
import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.delivery.ResourceUpdate;
import sprucelanding.control.discovery.ListedEndpoint;
import sprucelanding.replay.capture.RecordingInput;

/**
 * A governor's process: the core of the service on virtual time, which can die, start anew, or be
 * paused.
 */
final class EmulatedGovernor implements GovernorCore.Host {
    private static final double BATCH_MILLIS = 0.1; // ms until a batch of what came is settled
    static final double START_MILLIS = 900; // ms from its start until it listens
    private static final double STOP_TIMEOUT_MILLIS = 3000; // ms that a planned stop may take

    final int number;
    final int zone;
    final Set<EmulatedStream> streams = new LinkedHashSet<>();
    private final EmulatedFleet fleet;
    private final GovernorConfig config;
    private final ArrayDeque<Consumer<SharedGovernorCore>> steps = new ArrayDeque<>();
    private final Histogram acknowledgementTimes = new Histogram(600_000_000L, 3);
    private SharedGovernorCore core;
    private String savedEndpointList;
    private int incarnation;
    private boolean paused;
    private boolean batchScheduled;
    private boolean watchesDiscovery;
    private double writesDoneAt;
    private int brokenZone = -1;
    private int bytesUntilBreak;
    private boolean isolated;
    private long highestGeneration;
    private long peerHandlingNanos;
    private int internalErrors;
    private double longestAcknowledgement;

    EmulatedGovernor(EmulatedFleet fleet, int number, int zone, GovernorConfig config) {
        this.fleet = fleet;
        this.number = number;
        this.zone = zone;
        this.config = config;
    }

    void start() {
        if (core != null) {
            return;
        }
        int startedIncarnation = ++incarnation;
        fleet.clock.scheduleAfter(
                startedIncarnation == 1 ? 0 : START_MILLIS,
                () -> {
                    if (startedIncarnation != incarnation) {
                        return;
                    }
                    RoutingController controller = GovernorComponents.controller(config);
                    RecordingInput.Sink sink = fleet.capture(number, startedIncarnation);
                    RecordingInput overheard =
                            sink == null
                                    ? null
                                    : new RecordingInput(new DirectInput(controller), sink);
                    highestGeneration = Math.max((long) now(), highestGeneration + 1);
                    core =
                            new SharedGovernorCore(
                                    this,
                                    (recipient, message) ->
                                            fleet.sendToPeers(number, recipient, message),
                                    GovernorComponents.fleetMember(
                                            config, highestGeneration, now()),
                                    fleet.zones::indexOf,
                                    host ->
                                            GovernorComponents.core(
                                                    config,
                                                    host,
                                                    controller,
                                                    sink == null
                                                            ? new DirectInput(controller)
                                                            : overheard,
                                                    sink == null ? InputListener.NONE : overheard,
                                                    0));
                    core.start(
                            savedEndpointList, config.roster().pushed(), config.reports().every());
                    core.processBatch();
                });
    }

    void crash() {
        incarnation++;
        core = null;
        paused = false;
        batchScheduled = false;
        watchesDiscovery = false;
        steps.clear();
        Set.copyOf(streams).forEach(EmulatedStream::onGovernorClosed);
    }

    void setPaused(boolean enabled) {
        paused = enabled;
        Set.copyOf(streams).forEach(EmulatedStream::connectivityChanged);
        if (!enabled) {
            scheduleBatch();
        }
    }

    boolean isAlive() {
        return core != null;
    }

    boolean isPaused() {
        return paused;
    }

    double reportIntervalMillis() {
        return config.reports().every();
    }

    int internalErrors() {
        return internalErrors;
    }

    Histogram inForce() {
        return acknowledgementTimes;
    }

    /** From the world; what comes while it is paused waits. */
    void submit(Consumer<SharedGovernorCore> step) {
        if (isAlive()) {
            steps.add(step);
            scheduleBatch();
        }
    }

    private void scheduleBatch() {
        if (!batchScheduled && !paused && isAlive() && !steps.isEmpty()) {
            batchScheduled = true;
            int startedIncarnation = incarnation;
            fleet.clock.scheduleAfter(
                    BATCH_MILLIS,
                    () -> {
                        batchScheduled = false;
                        if (startedIncarnation == incarnation && !paused) {
                            runBatch();
                        }
                    });
        }
    }

    private void runBatch() {
        while (!steps.isEmpty()) {
            steps.poll().accept(core);
        }
        core.processBatch();
        highestGeneration = Math.max(highestGeneration, core.highestEpoch());
    }

    /** When its writing threads have done with so much more. */
    double reserveWrite(double durationMillis) {
        writesDoneAt = Math.max(writesDoneAt, now()) + durationMillis;
        return writesDoneAt;
    }

    /** Another governor said something. */
    void onPeerMessage(Object message) {
        submit(
                core -> {
                    long startedNanos = System.nanoTime();
                    core.peerMessageReceived(message);
                    peerHandlingNanos += System.nanoTime() - startedNanos;
                });
    }

    /** ms of this machine that what other governors said took so far. */
    double peerHandlingMillis() {
        return peerHandlingNanos / 1e6;
    }

    /** Its proxies and it do not hear each other. */
    void isolated(boolean enabled) {
        isolated = enabled;
        Set.copyOf(streams).forEach(EmulatedStream::connectivityChanged);
    }

    boolean isolated() {
        return isolated;
    }

    /** Planned: its proxies are sent on, then it ends. */
    void stopGracefully() {
        int startedIncarnation = incarnation;
        submit(
                core ->
                        core.drain(
                                () ->
                                        fleet.clock.scheduleAfter(
                                                1,
                                                () -> {
                                                    if (startedIncarnation == incarnation) {
                                                        crash();
                                                    }
                                                })));
        fleet.clock.scheduleAfter(
                STOP_TIMEOUT_MILLIS,
                () -> {
                    if (startedIncarnation == incarnation) {
                        crash();
                    }
                });
    }

    /**
     * Looked at right before a write, as the fronts do; a governor that may not write any more ends
     * the stream.
     */
    boolean canWrite(ResourceUpdate message) {
        if (message.stream.lease().isValidAt(now()) && !paused) {
            return true;
        }
        if (!paused) {
            ((EmulatedStream) message.stream.transport).onGovernorClosed();
        }
        return false;
    }

    String controlPlaneId(ProxyStream proxyStream) {
        return config.name()
                + (proxyStream.lease().epoch() == 0 ? "" : "#" + proxyStream.lease().epoch());
    }

    void breakStreamsAfter(int zone, int bytes) {
        brokenZone = zone;
        bytesUntilBreak = bytes;
    }

    /** Whether a message to that zone breaks its stream, in the middle. */
    boolean breaksStream(int proxyZone, ResourceUpdate message) {
        if (proxyZone != brokenZone) {
            return false;
        }
        bytesUntilBreak -= 60 + 90 * message.entryCount();
        if (bytesUntilBreak >= 0) {
            return false;
        }
        brokenZone = -1;
        return true;
    }

    boolean watchesDiscovery() {
        return watchesDiscovery;
    }

    @Override
    public double now() {
        return fleet.clock.now();
    }

    @Override
    public void schedule(double time, Runnable step) {
        int startedIncarnation = incarnation;
        fleet.clock.schedule(
                time,
                () -> {
                    if (startedIncarnation == incarnation) {
                        steps.add(core -> step.run());
                        if (!paused) {
                            runBatch();
                        }
                    }
                });
    }

    @Override
    public void send(Object stream, ResourceUpdate message) {
        ((EmulatedStream) stream).sendToProxy(message);
    }

    @Override
    public void closeStream(Object stream, ProxyStream holder, boolean busy, String reason) {
        ((EmulatedStream) stream).onGovernorClosed();
    }

    @Override
    public void startHealthCheck(ListedEndpoint listedEndpoint) {
        int startedIncarnation = incarnation;
        EmulatedEndpoint core = fleet.endpoint(listedEndpoint.id());
        boolean[] finished = new boolean[1];
        EmulatedEndpoint.ResponseListener listener =
                new EmulatedEndpoint.ResponseListener() {
                    private void done(HealthCheckResult answer, double load) {
                        if (!finished[0]) {
                            finished[0] = true;
                            if (startedIncarnation == incarnation) {
                                submit(
                                        core ->
                                                core.core()
                                                        .healthCheckCompleted(
                                                                listedEndpoint.id(), answer, load));
                            }
                        }
                    }

                    @Override
                    public void onResponse(int status, boolean notExecuted, double utilization) {
                        done(
                                status < 0 ? HealthCheckResult.TIMED_OUT : HealthCheckResult.OK,
                                utilization);
                    }

                    @Override
                    public void onConnectionBroken() {
                        done(HealthCheckResult.UNREACHABLE, Double.NaN);
                    }
                };
        fleet.clock.scheduleAfter(
                config.probes().timeout(), () -> listener.onResponse(-1, false, Double.NaN));
        fleet.clock.scheduleAfter(
                2 * EmulatedFleet.HOP_MILLIS, () -> core.healthCheck(listener, zone));
    }

    @Override
    public void broadcastToPeers(byte[] payload) {
        // Choice asks for none so far
    }

    @Override
    public void watchEndpointList() {
        watchesDiscovery = true;
        fleet.discovery.open(this);
    }

    @Override
    public void batchAcknowledged(Object stream, double afterMillis) {
        acknowledgementTimes.recordValue((long) Math.max(0, afterMillis * 1000));
        longestAcknowledgement = Math.max(longestAcknowledgement, afterMillis);
    }

    /** ms of the longest order to come in force since this was last asked. */
    double takeLongestAcknowledgement() {
        double largest = longestAcknowledgement;
        longestAcknowledgement = 0;
        return largest;
    }

    /** The roster tells something. */
    void onDiscoveryUpdate(String text) {
        submit(
                core -> {
                    if (core.core().endpointListReceived(text)) {
                        savedEndpointList = core.core().endpointListText();
                    } else {
                        fleet.discovery.open(this);
                    }
                });
    }

    @Override
    public void endpointListed(ListedEndpoint entry) {
        // addresses do not matter here
    }

    @Override
    public void log(String text, Object... figures) {
        fleet.log(number, text, figures);
    }

    @Override
    public void decisionFailed(RuntimeException e) {
        internalErrors++;
        fleet.log(number, "BUG: a decision failed", "why", e.toString());
    }
}
