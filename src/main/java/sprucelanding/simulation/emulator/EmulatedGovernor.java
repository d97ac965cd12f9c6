package sprucelanding.simulation.emulator;

import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;
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
 * Process of a governor: the core of the service on virtual time. The process can crash, restart,
 * be paused, or be isolated from its proxies. The endpoint list and the highest generation survive
 * a crash.
 */
final class EmulatedGovernor implements GovernorCore.Host {
    /** Time from a restart until the governor listens. */
    static final double START_MILLIS = 900;

    /** Time over which inputs are collected into a batch. */
    private static final double BATCH_MILLIS = 0.1;

    /** Maximum time of a graceful stop. */
    private static final double STOP_TIMEOUT_MILLIS = 3000;

    private static final double DRAINED_STOP_MILLIS = 1;
    private static final double NANOS_PER_MILLI = 1e6;

    final int number;
    final int zone;
    private final Set<EmulatedStream> streams = new LinkedHashSet<>();
    private final EmulatedFleet fleet;
    private final GovernorConfig config;
    private final ArrayDeque<Consumer<SharedGovernorCore>> steps = new ArrayDeque<>();

    private final AcknowledgementTimes acknowledgementTimes = new AcknowledgementTimes();
    private final StreamBreak streamBreak = new StreamBreak();

    private SharedGovernorCore core;
    private String savedEndpointList;
    private int incarnation;
    private boolean paused;
    private boolean batchScheduled;
    private boolean watchesDiscovery;
    private double writesDoneAt;
    private boolean isolated;
    private long highestGeneration;
    private long peerHandlingNanos;
    private int internalErrors;

    EmulatedGovernor(EmulatedFleet fleet, int number, int zone, GovernorConfig config) {
        this.fleet = fleet;
        this.number = number;
        this.zone = zone;
        this.config = config;
    }

    /** Starts the governor's process; a restart takes {@link #START_MILLIS}. */
    void start() {
        if (core != null) {
            return;
        }
        int startedIncarnation = ++incarnation;
        fleet.clock.scheduleAfter(
                startedIncarnation == 1 ? 0 : START_MILLIS,
                () -> {
                    if (startedIncarnation == incarnation) {
                        startCore();
                    }
                });
    }

    private void startCore() {
        RoutingController controller = GovernorComponents.createController(config);
        RecordingInput.Sink sink = fleet.openCapture(number, incarnation);
        RecordingInput recordingInput =
                sink == null ? null : new RecordingInput(new DirectInput(controller), sink);
        highestGeneration = Math.max((long) now(), highestGeneration + 1);
        core =
                new SharedGovernorCore(
                        this,
                        (recipient, message) ->
                                fleet.network.sendToPeers(number, recipient, message),
                        GovernorComponents.createFleetMember(config, highestGeneration, now()),
                        fleet.zones::indexOf,
                        host ->
                                GovernorComponents.createCore(
                                        config,
                                        host,
                                        controller,
                                        recordingInput == null
                                                ? new DirectInput(controller)
                                                : recordingInput,
                                        recordingInput == null
                                                ? InputListener.NONE
                                                : recordingInput,
                                        0));
        core.start(savedEndpointList, config.roster().pushed(), config.reports().every());
        core.processBatch();
    }

    /** Ends the governor's process: streams break, and queued steps are lost. */
    void crash() {
        incarnation++;
        core = null;
        paused = false;
        batchScheduled = false;
        watchesDiscovery = false;
        steps.clear();
        Set.copyOf(streams).forEach(EmulatedStream::onGovernorClosed);
    }

    /** Sets whether the process is paused; a paused process only queues its inputs. */
    void setPaused(boolean enabled) {
        paused = enabled;
        connectivityChanged();
        if (!enabled) {
            scheduleBatch();
        }
    }

    /** Returns whether the process runs. A paused process counts as running. */
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

    /** Returns the times from this governor's orders to their acknowledgements. */
    AcknowledgementTimes acknowledgementTimes() {
        return acknowledgementTimes;
    }

    /** Queues a step for the next batch. The step is discarded if the process does not run. */
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

    /** Reserves the writing threads for a duration; returns when the write is done. */
    double reserveWrite(double durationMillis) {
        writesDoneAt = Math.max(writesDoneAt, now()) + durationMillis;
        return writesDoneAt;
    }

    /** Processes a datagram from another governor in the next batch. */
    void onPeerMessage(Object message) {
        submit(
                core -> {
                    long startedNanos = System.nanoTime();
                    core.peerMessageReceived(message);
                    peerHandlingNanos += System.nanoTime() - startedNanos;
                });
    }

    /** Returns the ms of wall time spent on datagrams from other governors so far. */
    double peerHandlingMillis() {
        return peerHandlingNanos / NANOS_PER_MILLI;
    }

    /** Sets whether no data passes between the governor and its proxies. */
    void setIsolated(boolean enabled) {
        isolated = enabled;
        connectivityChanged();
    }

    boolean isIsolated() {
        return isolated;
    }

    /**
     * Notifies all streams of a change that may make a stream silent or open it again: a change of
     * the network, or of this process.
     */
    void connectivityChanged() {
        Set.copyOf(streams).forEach(EmulatedStream::connectivityChanged);
    }

    void streamOpened(EmulatedStream stream) {
        streams.add(stream);
    }

    void streamClosed(EmulatedStream stream) {
        streams.remove(stream);
    }

    /**
     * Moves the proxies to other governors, and then ends the process. Ends the process after
     * {@link #STOP_TIMEOUT_MILLIS} at the latest.
     */
    void stopGracefully() {
        int startedIncarnation = incarnation;
        submit(core -> core.drain(() -> crashAfter(DRAINED_STOP_MILLIS, startedIncarnation)));
        crashAfter(STOP_TIMEOUT_MILLIS, startedIncarnation);
    }

    private void crashAfter(double millis, int startedIncarnation) {
        fleet.clock.scheduleAfter(
                millis,
                () -> {
                    if (startedIncarnation == incarnation) {
                        crash();
                    }
                });
    }

    /**
     * Returns whether a message may still be written. As in the fronts, the check takes place right
     * before the write. Closes the stream if the governor's lease on the proxy has expired and the
     * process is not paused.
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

    /** Returns the fault that breaks a stream within a message. */
    StreamBreak streamBreak() {
        return streamBreak;
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
    public void closeStream(Object stream, ProxyStream proxyStream, boolean busy, String reason) {
        ((EmulatedStream) stream).onGovernorClosed();
    }

    @Override
    public void startHealthCheck(ListedEndpoint listedEndpoint) {
        HealthCheck healthCheck = new HealthCheck(listedEndpoint.id());
        EmulatedEndpoint endpoint = fleet.endpoint(listedEndpoint.id());
        fleet.clock.scheduleAfter(config.probes().timeout(), healthCheck::onTimeout);
        fleet.clock.scheduleAfter(
                2 * EmulatedNetwork.HOP_MILLIS, () -> endpoint.healthCheck(healthCheck, zone));
    }

    /**
     * Health check of an endpoint. The first result counts, unless the process has restarted since.
     */
    private final class HealthCheck implements EmulatedEndpoint.ResponseListener {
        private final long endpointId;
        private final int startedIncarnation = incarnation;
        private boolean completed;

        HealthCheck(long endpointId) {
            this.endpointId = endpointId;
        }

        void onTimeout() {
            complete(HealthCheckResult.TIMED_OUT, Double.NaN);
        }

        @Override
        public void onResponse(int status, boolean notExecuted, double utilization) {
            complete(HealthCheckResult.OK, utilization);
        }

        @Override
        public void onConnectionBroken() {
            complete(HealthCheckResult.UNREACHABLE, Double.NaN);
        }

        private void complete(HealthCheckResult result, double utilization) {
            if (completed) {
                return;
            }
            completed = true;
            if (startedIncarnation == incarnation) {
                submit(core -> core.core().healthCheckCompleted(endpointId, result, utilization));
            }
        }
    }

    @Override
    public void broadcastToPeers(byte[] payload) {
        // the controller does not use broadcasts
    }

    @Override
    public void watchEndpointList() {
        watchesDiscovery = true;
        fleet.discovery.open(this);
    }

    @Override
    public void batchAcknowledged(Object stream, double afterMillis) {
        acknowledgementTimes.record(afterMillis);
    }

    /** Processes an update from service discovery in the next batch. */
    void onDiscoveryUpdate(String text) {
        submit(
                core -> {
                    if (core.core().endpointListReceived(text)) {
                        savedEndpointList = core.core().endpointListJson();
                    } else {
                        fleet.discovery.open(this);
                    }
                });
    }

    @Override
    public void endpointListed(ListedEndpoint entry) {
        // the emulator finds endpoints by id and does not use addresses
    }

    @Override
    public void log(String text, Object... figures) {
        fleet.log(number, text, figures);
    }

    @Override
    public void decisionFailed(RuntimeException exception) {
        internalErrors++;
        fleet.log(number, "BUG: a decision failed", "why", exception.toString());
    }
}
