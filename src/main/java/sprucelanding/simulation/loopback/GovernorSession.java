package sprucelanding.simulation.loopback;

import io.grpc.netty.shaded.io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.simulation.model.ProxyTables;
import sprucelanding.simulation.rules.EventTrace;
import sprucelanding.simulation.rules.TraceEvent;

/**
 * A proxy's session with one governor at a time, over xDS, or over NETCONF if the proxy is a
 * device. The session connects to the next governor when the channel breaks. All calls must be made
 * on the proxy's event loop.
 */
final class GovernorSession {
    private final EventLoop loop;
    private final NioEventLoopGroup transport;
    private final ProxyContext.Identity identity;
    private final List<SimulatedProxy.GovernorAddress> governors;
    private final SimulatedProxy.ProxyOptions options;
    private final EventTrace trace;
    private final SplittableRandom random;
    private final LoadReportClient loadReports;
    private final Supplier<ProxyTables<InetSocketAddress>> tables;
    private final Runnable tablesChanged;
    private int governorIndex;

    /** The number of disconnections so far; a callback with an earlier number is stale. */
    private int disconnectCount;

    /** The current channel; null while the proxy is not connected. */
    private ControlChannel controlChannel;

    /** The device; null for a proxy that uses xDS. */
    private SimulatedDevice device;

    private boolean hasJoined;
    private boolean stopped = true;
    private boolean isolated;
    private double responseDelayMillis;
    private boolean readsPaused;
    private int messagesToReject;
    private long messageCount;
    private long acknowledgementCount;

    /**
     * Creates a session that is not connected.
     *
     * @param transport the threads that run the xDS connections
     * @param governors the governors in the order in which the proxy connects to them; may be empty
     * @param tablesChanged a callback that runs after each change of the tables
     */
    GovernorSession(
            ProxyContext context,
            NioEventLoopGroup transport,
            List<SimulatedProxy.GovernorAddress> governors,
            EventTrace trace,
            Runnable tablesChanged) {
        this.loop = context.loop();
        this.transport = transport;
        this.identity = context.identity();
        this.governors = governors;
        this.options = context.options();
        this.trace = trace;
        this.random = context.random();
        this.loadReports = context.loadReports();
        this.tables = context.tables();
        this.tablesChanged = tablesChanged;
    }

    /** Makes the proxy a device, which uses NETCONF from its next connection on. */
    void attachDevice(SimulatedDevice attached) {
        device = attached;
    }

    /** Prepares for a start of the proxy's process, which reboots the device if there is one. */
    void prepareStart() {
        stopped = false;
        if (device != null) {
            device.reboot();
        }
    }

    /** Stops reconnecting, because the proxy's process ends. */
    void stop() {
        stopped = true;
    }

    long messageCount() {
        return messageCount;
    }

    long acknowledgementCount() {
        return acknowledgementCount;
    }

    /** Returns whether a governor has configured the proxy on the current connection. */
    boolean hasJoined() {
        return hasJoined;
    }

    // Faults.

    void setIsolated(boolean enabled) {
        isolated = enabled;
        if (enabled) {
            disconnect();
            scheduleReconnect();
        }
    }

    void setResponseDelay(double millis) {
        responseDelayMillis = millis;
        if (controlChannel != null) {
            controlChannel.setResponseDelay(millis);
        }
    }

    void rejectNext(int count) {
        messagesToReject = count;
        if (controlChannel != null) {
            controlChannel.rejectNext(count);
        }
    }

    void setReadsPaused(boolean enabled) {
        trace.record(
                new TraceEvent.ReadingChanged(EventLoop.nowMillis(), identity.number(), !enabled));
        readsPaused = enabled;
        if (controlChannel != null) {
            controlChannel.setReadsPaused(enabled);
        }
    }

    // Connections.

    /** Closes the channel, and connects to the next governor after a random delay. */
    void reconnect() {
        disconnect();
        governorIndex++;
        scheduleReconnect();
    }

    void disconnect() {
        if (hasJoined) {
            hasJoined = false;
            trace.record(new TraceEvent.ProxyLeft(EventLoop.nowMillis(), identity.number()));
        }
        disconnectCount++;
        if (controlChannel != null) {
            controlChannel.close();
            controlChannel = null;
        }
    }

    private void scheduleReconnect() {
        int disconnectsAtStart = disconnectCount;
        loop.schedule(
                options.minReconnectMillis()
                        + random.nextDouble()
                                * (options.maxReconnectMillis() - options.minReconnectMillis()),
                () -> {
                    if (disconnectsAtStart == disconnectCount && !stopped) {
                        connect();
                    }
                });
    }

    void connect() {
        if (governors.isEmpty()) {
            return; // the scenario has no governors
        }
        if (isolated) {
            scheduleReconnect();
            return;
        }
        controlChannel = newChannel(governors.get(governorIndex % governors.size()));
        controlChannel.setResponseDelay(responseDelayMillis);
        controlChannel.rejectNext(messagesToReject);
        controlChannel.open();
        controlChannel.setReadsPaused(readsPaused);
    }

    private ControlChannel newChannel(SimulatedProxy.GovernorAddress target) {
        ChannelListener listener = new ChannelListener(target.governor());
        if (device != null) {
            return device.openChannel(loop, target.port(), tables.get(), loadReports, listener);
        }
        return new XdsClient(
                loop,
                transport,
                target.port(),
                XdsClient.node(identity.name(), identity.zone(), identity.expectedRate()),
                options.incremental(),
                tables.get(),
                loadReports,
                listener);
    }

    /** The listener of one channel, which records the channel's events in the trace. */
    private final class ChannelListener implements ControlChannel.ControlChannelListener {
        private final int governor;
        private final int disconnectsAtStart = disconnectCount;

        ChannelListener(int governor) {
            this.governor = governor;
        }

        private void recordMessage(String type, long nonce, int entries, String controlPlaneId) {
            double now = EventLoop.nowMillis();
            if (!hasJoined) {
                hasJoined = true;
                trace.record(new TraceEvent.ProxyJoined(now, identity.number(), governor));
            }
            messageCount++;
            trace.record(
                    new TraceEvent.MessageRead(
                            now,
                            identity.number(),
                            governor,
                            device == null ? "xds" : "netconf",
                            type.substring(type.lastIndexOf('.') + 1),
                            nonce,
                            entries,
                            controlPlaneId));
        }

        @Override
        public void onApplied(String type, long nonce, int entries, String controlPlaneId) {
            recordMessage(type, nonce, entries, controlPlaneId);
            tablesChanged.run();
        }

        @Override
        public void onRejected(String type, long nonce, String controlPlaneId) {
            messagesToReject = Math.max(0, messagesToReject - 1);
            recordMessage(type, nonce, 0, controlPlaneId);
        }

        @Override
        public void onAcknowledged(long nonce, boolean rejected) {
            acknowledgementCount++;
            trace.record(
                    new TraceEvent.MessageAnswered(
                            EventLoop.nowMillis(), identity.number(), nonce, rejected));
        }

        @Override
        public void onBroken(String reason) {
            if (disconnectsAtStart == disconnectCount) {
                reconnect();
            }
        }
    }
}
