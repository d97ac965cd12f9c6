package sprucelanding.simulation.emulator;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import sprucelanding.control.core.SharedGovernorCore;
import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.delivery.ResourceUpdate;

/**
 * One proxy's stream to one governor: in order both ways, silent across a cut, and ended by the
 * proxy's keepalive then.
 */
final class EmulatedStream {
    private static final double KEEPALIVE_MILLIS =
            3000; // ms of silence after which the proxy gives it up
    private static final double OPEN_MILLIS = 3;
    private static final double MESSAGE_WRITE_MILLIS = 0.02; // ms of the governor's writing threads
    private static final double ENTRY_WRITE_MILLIS = 0.002;

    final EmulatedGovernor governor;
    final ProxyStream proxyStream;
    private final EmulatedFleet fleet;
    private final EmulatedProxy proxy;
    private final boolean hasKeepalive;

    /** A message as it was written, and by whom under which epoch. */
    private record SentMessage(ResourceUpdate message, String controlPlaneId) {}

    private final ArrayDeque<SentMessage> heldMessages = new ArrayDeque<>();
    private final ArrayDeque<Consumer<SharedGovernorCore>> heldSteps = new ArrayDeque<>();
    private double lastWriteAt;
    private boolean closed;
    private boolean keepalivePending;

    EmulatedStream(
            EmulatedFleet fleet,
            EmulatedProxy proxy,
            EmulatedGovernor governor,
            ProxyStream.UpdateMode form) {
        this.fleet = fleet;
        this.proxy = proxy;
        this.governor = governor;
        this.proxyStream = new ProxyStream(proxy.number, form, this);
        this.hasKeepalive = form != ProxyStream.UpdateMode.EDITS;
    }

    void open(Consumer<SharedGovernorCore> first) {
        governor.streams.add(this);
        if (!governor.isAlive()) {
            fleet.clock.scheduleAfter(OPEN_MILLIS, () -> proxy.onStreamBroken(this));
            return;
        }
        connectivityChanged();
        fleet.clock.scheduleAfter(OPEN_MILLIS, () -> deliverToGovernor(first));
    }

    private boolean isSilent() {
        return !fleet.isOpen(proxy.zone, governor.zone) || governor.isolated();
    }

    /** The proxy says something. */
    void sendToGovernor(Consumer<SharedGovernorCore> step) {
        fleet.clock.scheduleAfter(EmulatedFleet.HOP_MILLIS, () -> deliverToGovernor(step));
    }

    private void deliverToGovernor(Consumer<SharedGovernorCore> step) {
        if (closed) {
            return;
        }
        if (isSilent() || !heldSteps.isEmpty()) {
            heldSteps.add(step);
        } else {
            governor.submit(step);
        }
    }

    /** The governor writes a message. */
    void sendToProxy(ResourceUpdate message) {
        lastWriteAt =
                Math.max(
                                lastWriteAt,
                                governor.reserveWrite(
                                        MESSAGE_WRITE_MILLIS
                                                + ENTRY_WRITE_MILLIS * message.entryCount()))
                        + 1e-6;
        fleet.clock.schedule(
                lastWriteAt,
                () -> {
                    if (closed || !governor.canWrite(message)) {
                        return;
                    }
                    String controlPlaneId = governor.controlPlaneId(proxyStream);
                    fleet.clock.scheduleAfter(
                            EmulatedFleet.HOP_MILLIS,
                            () -> {
                                if (closed) {
                                    return;
                                }
                                if (governor.breaksStream(proxy.zone, message)) {
                                    proxy.onStreamBroken(this);
                                    return;
                                }
                                heldMessages.add(new SentMessage(message, controlPlaneId));
                                flush();
                            });
                });
    }

    /** The way may be open again: what was held up goes on. */
    void flush() {
        while (!closed && !isSilent() && !proxy.readsPaused && !heldMessages.isEmpty()) {
            SentMessage nextMessage = heldMessages.poll();
            proxy.onMessage(this, nextMessage.message, nextMessage.controlPlaneId);
        }
        while (!closed && !isSilent() && !heldSteps.isEmpty()) {
            governor.submit(heldSteps.poll());
        }
    }

    /**
     * The way may have become silent or its governor have stopped: the proxy finds out, if it does
     * not pass.
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
                            proxy.onStreamBroken(this);
                        }
                    });
        }
    }

    /** The proxy has done with it. */
    void close() {
        if (!closed) {
            closed = true;
            governor.streams.remove(this);
            governor.submit(core -> core.proxyDisconnected(proxyStream));
        }
    }

    /** The governor ends it, or died. */
    void onGovernorClosed() {
        fleet.clock.scheduleAfter(
                EmulatedFleet.HOP_MILLIS,
                () -> {
                    if (!closed) {
                        proxy.onStreamBroken(this);
                    }
                });
    }
}
