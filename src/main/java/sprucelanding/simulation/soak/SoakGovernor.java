package sprucelanding.simulation.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.OptionalDouble;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.runtime.eventloop.TcpConnection;
import sprucelanding.simulation.process.JavaProcess;

/**
 * A governor process with its discovery service and its channel. A governor is used only on the
 * soak's event loop. Times are in milliseconds.
 *
 * <p>A governor is <em>down</em> from a fault that ends its process until the process is started
 * again. A governor is <em>up</em> from the first answer to a ping until the next such fault.
 */
final class SoakGovernor {
    /** A listener that is notified when a process answers for the first time. */
    interface Listener {
        /** Handles the first answer of a governor process. */
        void governorUp(SoakGovernor governor);
    }

    /** Limit of the queued bytes on a connection of the fleet, beyond which it is closed. */
    static final int MAX_UNSENT_BYTES = 128 << 10;

    private static final double PING_INTERVAL_MS = 40;
    private static final byte[] PING = "{\"msg\":\"ping\"}\n".getBytes(StandardCharsets.US_ASCII);

    /** Time from SIGTERM until a process that still runs is killed. */
    private static final double TERMINATION_TIMEOUT_MS = 700;

    /** Time that a planned restart takes in addition to the downtime. */
    private static final double TERMINATION_DOWNTIME_MS = 800;

    private static final int DISCOVERY_PENDING_CONNECTIONS = 64;

    private final int number;
    private final EventLoop loop;
    private final SoakEndpoints endpoints;
    private final ServeConfig config;
    private final Listener listener;
    private final ServeProcess process;
    private final DiscoveryServer discovery;
    private final Channel channel;
    private final int listenPort;
    private final int discoveryPort;
    private OptionalDouble upSince = OptionalDouble.empty();
    private boolean isDown = true;

    SoakGovernor(
            int number,
            SoakPlan plan,
            Path folder,
            EventLoop loop,
            SoakEndpoints endpoints,
            Listener listener)
            throws IOException {
        this.number = number;
        this.loop = loop;
        this.endpoints = endpoints;
        this.listener = listener;
        config = new ServeConfig(plan);
        process = new ServeProcess(number, folder);
        discovery = new DiscoveryServer(loop, endpoints);
        channel = new Channel(loop, plan.entriesPerSecond() / 1000);
        listenPort = freePort();
        discoveryPort =
                loop.localPort(
                        loop.listen(
                                loopback(0),
                                DISCOVERY_PENDING_CONNECTIONS,
                                connection ->
                                        loop.register(
                                                connection,
                                                DiscoveryServer.MAX_UNSENT_BYTES,
                                                discovery.newWatch())));
    }

    int number() {
        return number;
    }

    ServeProcess process() {
        return process;
    }

    DiscoveryServer discovery() {
        return discovery;
    }

    Channel channel() {
        return channel;
    }

    /** Returns the time of the first answer of the process; empty if there is none yet. */
    OptionalDouble upSince() {
        return upSince;
    }

    boolean hasAnswered() {
        return upSince.isPresent();
    }

    /** Returns whether the governor is up and answered for the first time before {@code now}. */
    boolean wasAvailableBefore(double now) {
        return isUp() && upSince.getAsDouble() < now;
    }

    /** Returns whether the process ended without an injected fault. */
    boolean hasCrashed() {
        return !isDown && !process.isAlive();
    }

    /** Opens a connection to the governor. */
    TcpConnection connect(TcpConnection.Listener connectionListener) {
        return loop.connect(loopback(listenPort), null, MAX_UNSENT_BYTES, connectionListener);
    }

    /** Starts a process with the current endpoint list in its configuration. */
    void start() {
        discovery.onProcessStarted(EventLoop.nowMillis());
        channel.dropBacklog();
        isDown = false;
        process.start(config.toJson(number, listenPort, discoveryPort, endpoints.fullListJson()));
        ping();
    }

    /** Sends a ping, and repeats it until the process answers. */
    private void ping() {
        connect(new PingListener());
    }

    private final class PingListener implements TcpConnection.Listener {
        private boolean hasAnswered;

        @Override
        public void onConnected(TcpConnection connection) {
            connection.write(PING);
        }

        @Override
        public void onReceived(TcpConnection connection, ByteBuffer input) {
            hasAnswered = true;
            upSince = OptionalDouble.of(EventLoop.nowMillis());
            listener.governorUp(SoakGovernor.this);
            connection.close();
        }

        @Override
        public void onClosed(TcpConnection connection, String reason) {
            if (!hasAnswered && !isDown) {
                loop.schedule(PING_INTERVAL_MS, SoakGovernor.this::ping);
            }
        }
    }

    /** Kills the process and restarts it after the downtime, if the governor is up. */
    void kill(double downtime) {
        if (isUp()) {
            process.kill();
            markDown(downtime);
        }
    }

    /**
     * Sends SIGTERM to the process if the governor is up. Kills the process if it does not end in
     * time, and restarts it after the downtime.
     */
    void restart(double downtime) {
        if (isUp()) {
            process.signal(JavaProcess.Signal.TERM);
            loop.schedule(TERMINATION_TIMEOUT_MS, this::killIfStillAlive);
            markDown(downtime + TERMINATION_DOWNTIME_MS);
        }
    }

    private boolean isUp() {
        return !isDown && hasAnswered();
    }

    private void killIfStillAlive() {
        if (isDown && process.isAlive()) {
            process.kill();
        }
    }

    /** Pauses the process for a time, unless the governor is down. */
    void pause(double length) {
        if (!isDown && process.isAlive()) {
            process.signal(JavaProcess.Signal.STOP);
            loop.schedule(length, this::resume);
        }
    }

    private void resume() {
        if (process.isAlive()) {
            process.signal(JavaProcess.Signal.CONT);
        }
    }

    /** Marks the governor as down, and schedules its restart after the downtime. */
    void markDown(double downtime) {
        isDown = true;
        upSince = OptionalDouble.empty();
        loop.schedule(downtime, this::start);
    }

    /** Kills the process without a restart. Called from another thread at the end of the soak. */
    void stop() throws InterruptedException {
        isDown = true;
        process.stop();
    }

    private static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }
}
