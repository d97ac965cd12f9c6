package sprucelanding.simulation.emulator;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import sprucelanding.control.core.SharedGovernorCore;
import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.delivery.ResourceUpdate;

/**
 * Stream between a proxy and a governor that keeps messages in order in both directions. During a
 * network cut the stream is silent and sent messages wait, until the proxy's keepalive closes the
 * stream.
 */
final class EmulatedStream {
    /** Time of silence after which the proxy closes the stream. */
    private static final double KEEPALIVE_MILLIS = 3000;

    private static final double OPEN_MILLIS = 3;

    /** Time that the governor's writing threads take for a message, without its entries. */
    private static final double MESSAGE_WRITE_MILLIS = 0.02;

    /** Additional time that the governor's writing threads take for each entry of a message. */
    private static final double ENTRY_WRITE_MILLIS = 0.002;

    /** Keeps messages that are written at the same time in order. */
    private static final double MIN_WRITE_GAP_MILLIS = 1e-6;

    final EmulatedGovernor governor;
    final ProxyStream proxyStream;
    private final EmulatedFleet fleet;
    private final EmulatedProxy proxy;
    private final GovernorSession session;
    private final boolean hasKeepalive;

    /** Message that the governor has written, with the governor's name and epoch at that time. */
    private record SentMessage(ResourceUpdate message, String controlPlaneId) {}

    private final ArrayDeque<SentMessage> waitingMessages = new ArrayDeque<>();
    private final ArrayDeque<Consumer<SharedGovernorCore>> waitingSteps = new ArrayDeque<>();
    private double lastWriteAt;
    private boolean closed;
    private boolean keepalivePending;

    EmulatedStream(
            EmulatedFleet fleet,
            EmulatedProxy proxy,
            GovernorSession session,
            EmulatedGovernor governor,
            ProxyStream.UpdateMode updateMode) {
        this.fleet = fleet;
        this.proxy = proxy;
        this.session = session;
        this.governor = governor;
        this.proxyStream = new ProxyStream(proxy.number, updateMode, this);
        this.hasKeepalive = updateMode != ProxyStream.UpdateMode.TRANSACTIONAL;
    }

    /**
     * Opens the stream.
     *
     * @param first first step that runs in the governor
     */
    void open(Consumer<SharedGovernorCore> first) {
        governor.streamOpened(this);
        if (!governor.isAlive()) {
            fleet.clock.scheduleAfter(OPEN_MILLIS, () -> session.onStreamBroken(this));
            return;
        }
        connectivityChanged();
        fleet.clock.scheduleAfter(OPEN_MILLIS, () -> deliverToGovernor(first));
    }

    private boolean isSilent() {
        return !fleet.network.isOpen(proxy.zone, governor.zone) || governor.isIsolated();
    }

    /** Sends a message of the proxy as a step that runs in the governor. */
    void sendToGovernor(Consumer<SharedGovernorCore> step) {
        fleet.clock.scheduleAfter(EmulatedNetwork.HOP_MILLIS, () -> deliverToGovernor(step));
    }

    private void deliverToGovernor(Consumer<SharedGovernorCore> step) {
        if (closed) {
            return;
        }
        if (isSilent() || !waitingSteps.isEmpty()) {
            waitingSteps.add(step);
        } else {
            governor.submit(step);
        }
    }

    /**
     * Schedules the governor's write of a message. The write schedules the arrival at the proxy.
     */
    void sendToProxy(ResourceUpdate message) {
        lastWriteAt =
                Math.max(
                                lastWriteAt,
                                governor.reserveWrite(
                                        MESSAGE_WRITE_MILLIS
                                                + ENTRY_WRITE_MILLIS * message.entryCount()))
                        + MIN_WRITE_GAP_MILLIS;
        fleet.clock.schedule(lastWriteAt, () -> write(message));
    }

    private void write(ResourceUpdate message) {
        if (closed || !governor.canWrite(message)) {
            return;
        }
        String controlPlaneId = governor.controlPlaneId(proxyStream);
        fleet.clock.scheduleAfter(
                EmulatedNetwork.HOP_MILLIS,
                () -> onArrival(new SentMessage(message, controlPlaneId)));
    }

    private void onArrival(SentMessage sent) {
        if (closed) {
            return;
        }
        if (governor.streamBreak().breaksWithin(proxy.zone, sent.message)) {
            session.onStreamBroken(this);
            return;
        }
        waitingMessages.add(sent);
        flush();
    }

    /** Delivers the waiting messages as long as the stream is not silent and the proxy reads. */
    void flush() {
        while (!closed && !isSilent() && !session.readsPaused() && !waitingMessages.isEmpty()) {
            SentMessage nextMessage = waitingMessages.poll();
            session.onMessage(this, nextMessage.message, nextMessage.controlPlaneId);
        }
        while (!closed && !isSilent() && !waitingSteps.isEmpty()) {
            governor.submit(waitingSteps.poll());
        }
    }

    /**
     * Handles a change of the network or of the governor's state: delivers the waiting messages, or
     * schedules the proxy's keepalive timeout.
     */
    void connectivityChanged() {
        flush();
        if (hasKeepalive && !keepalivePending && !closed && (isSilent() || governor.isPaused())) {
            keepalivePending = true;
            fleet.clock.scheduleAfter(
                    KEEPALIVE_MILLIS,
                    () -> {
                        keepalivePending = false;
                        if (isSilent() || governor.isPaused()) {
                            session.onStreamBroken(this);
                        }
                    });
        }
    }

    /** Closes the stream on behalf of the proxy. */
    void close() {
        if (!closed) {
            closed = true;
            governor.streamClosed(this);
            governor.submit(core -> core.proxyDisconnected(proxyStream));
        }
    }

    /** Notifies the proxy, one hop later, that the governor closed the stream or crashed. */
    void onGovernorClosed() {
        fleet.clock.scheduleAfter(
                EmulatedNetwork.HOP_MILLIS,
                () -> {
                    if (!closed) {
                        session.onStreamBroken(this);
                    }
                });
    }
}
