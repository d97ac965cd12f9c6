package sprucelanding.runtime.server;

import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import sprucelanding.runtime.eventloop.EventLoop;

/**
 * A listener that accepts the connections of proxies and collectors, up to the limit of the
 * process's descriptors. At the limit, connections that have not joined are closed to release
 * descriptors. The listener is used on the event loop's thread only.
 */
final class ConnectionListener {
    private static final int BACKLOG = 1024;
    private static final double CHECK_INTERVAL_MILLIS = 100;

    /** Descriptors that the process needs for itself, plus a margin. */
    private static final int RESERVED_DESCRIPTORS = 40;

    private final EventLoop loop;
    private final ControllerHost host;
    private final ConnectionRegistry registry;
    private final int proxyCount;
    private final int maxDescriptors;

    /**
     * Creates a listener that does not listen yet.
     *
     * @param proxyCount the number of proxies; a proxy's number is below it
     * @param maxDescriptors the number of descriptors that the process may hold
     */
    ConnectionListener(
            EventLoop loop,
            ControllerHost host,
            EventLog eventLog,
            int proxyCount,
            int maxDescriptors) {
        this.loop = loop;
        this.host = host;
        this.registry = new ConnectionRegistry(eventLog);
        this.proxyCount = proxyCount;
        this.maxDescriptors = maxDescriptors;
    }

    /**
     * Starts listening, and starts the periodic check of deadlines.
     *
     * @throws UncheckedIOException if the address cannot be bound
     */
    void start(InetSocketAddress address) {
        loop.listen(address, BACKLOG, this::onAccepted);
        loop.scheduleWithFixedDelay(
                CHECK_INTERVAL_MILLIS, () -> registry.checkDeadlines(EventLoop.nowMillis()));
    }

    /**
     * Registers an accepted connection. If the connection has already been closed, releases all its
     * resources.
     */
    void onAccepted(SocketChannel channel) {
        ClientConnection connection =
                new ClientConnection(registry, host, proxyCount, EventLoop.nowMillis());
        registry.accepted(connection);
        try {
            connection.attach(
                    loop.register(channel, ClientConnection.MAX_UNSENT_BYTES, connection));
        } catch (UncheckedIOException e) {
            connection.onClosed(null, "closed before it could be registered");
            return;
        }
        while (descriptorsInUse() > maxDescriptors && registry.hasEvictableConnection()) {
            registry.evictOldest();
        }
    }

    private int descriptorsInUse() {
        return registry.openConnections() + host.healthChecksInFlight() + RESERVED_DESCRIPTORS;
    }

    /**
     * Returns the number of connections by state and the bytes of unfinished messages. All are 0
     * once all connections are closed.
     */
    String resourceSummary() {
        return registry.resourceSummary();
    }
}
