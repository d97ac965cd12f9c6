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
 * A proxy's connection to one governor at a time: xDS, or NETCONF if it is a device. Reconnects to
 * the next governor when the channel breaks. All calls on the proxy's loop.
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

    /** Counts connections and disconnections: tells whether a callback is stale. */
    private int connectionAttempt;

    /** Null while it is not connected. */
    private ControlChannel controlChannel;

    /** Null for a proxy that speaks xDS. */
    private SimulatedDevice device;

    private boolean joined;
    private boolean stopped = true;
    private boolean isolated;
    private double responseDelayMillis;
    private boolean readsPaused;
    private int messagesToReject;
    private long messages;
    private long acknowledgements;

    /**
     * Creates a session that is not connected.
     *
     * @param transport runs the xDS connections
     * @param governors in the order in which it connects to them; empty for none
     * @param tablesChanged runs after each change of the tables
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

    void attachDevice(SimulatedDevice attached) {
        device = attached;
    }

    /** The proxy's process starts; a device reboots with it. */
    void prepareStart() {
        stopped = false;
        if (device != null) {
            device.reboot();
        }
    }

    /** The proxy's process ends. */
    void stop() {
        stopped = true;
    }

    long messages() {
        return messages;
    }

    long acknowledgements() {
        return acknowledgements;
    }

    boolean joined() {
        return joined;
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

    /** Breaks the channel; another governor is next. */
    void reconnect() {
        disconnect();
        governorIndex++;
        scheduleReconnect();
    }

    void disconnect() {
        if (joined) {
            joined = false;
            trace.record(new TraceEvent.ProxyLeft(EventLoop.nowMillis(), identity.number()));
        }
        connectionAttempt++;
        if (controlChannel != null) {
            controlChannel.close();
            controlChannel = null;
        }
    }

    private void scheduleReconnect() {
        int attempt = connectionAttempt;
        loop.schedule(
                options.minReconnectMillis()
                        + random.nextDouble()
                                * (options.maxReconnectMillis() - options.minReconnectMillis()),
                () -> {
                    if (attempt == connectionAttempt && !stopped) {
                        connect();
                    }
                });
    }

    void connect() {
        if (governors.isEmpty()) {
            return; // a scenario without governors
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

    /** Records what happens on one channel. */
    private final class ChannelListener implements ControlChannel.ControlChannelListener {
        private final int governor;
        private final int attempt = connectionAttempt;

        ChannelListener(int governor) {
            this.governor = governor;
        }

        private void recordMessage(String type, long nonce, int entries, String controlPlaneId) {
            double now = EventLoop.nowMillis();
            if (!joined) {
                joined = true;
                trace.record(new TraceEvent.ProxyJoined(now, identity.number(), governor));
            }
            messages++;
            trace.record(
                    new TraceEvent.MessageSent(
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
            acknowledgements++;
            trace.record(
                    new TraceEvent.MessageAnswered(
                            EventLoop.nowMillis(), identity.number(), nonce, rejected));
        }

        @Override
        public void onBroken(String reason) {
            if (attempt == connectionAttempt) {
                reconnect();
            }
        }
    }
}
