package sprucelanding.runtime.server;

import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import sprucelanding.runtime.eventloop.EventLoop;

/**
 * Accepts the connections of proxies and collectors, as many as the process has descriptors for.
 * Where these run short, connections that have not joined make room. Event loop's thread only.
 */
final class ConnectionListener {
    private static final int BACKLOG = 1024;
    private static final double CHECK_INTERVAL_MILLIS = 100;

    /** Descriptors of the program itself, and some to spare. */
    private static final int RESERVED_DESCRIPTORS = 40;

    private final EventLoop loop;
    private final ControllerHost host;
    private final ConnectionRegistry registry;
    private final int proxyCount;
    private final int maxDescriptors;

    /**
     * Creates a listener that does not listen yet.
     *
     * @param proxyCount proxies are numbered below that
     * @param maxDescriptors that the process may hold
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
     * Listens.
     *
     * @throws UncheckedIOException if that address cannot be listened at
     */
    void start(InetSocketAddress address) {
        loop.listen(address, BACKLOG, this::onAccepted);
        loop.scheduleWithFixedDelay(
                CHECK_INTERVAL_MILLIS, () -> registry.checkDeadlines(EventLoop.nowMillis()));
    }

    /** One more connection; one that is gone already is closed and leaves nothing behind. */
    void onAccepted(SocketChannel channel) {
        ClientConnection connection =
                new ClientConnection(registry, host, proxyCount, EventLoop.nowMillis());
        registry.accepted(connection);
        try {
            connection.attach(
                    loop.register(channel, ClientConnection.MAX_UNSENT_BYTES, connection));
        } catch (UncheckedIOException e) {
            connection.onClosed(null, "gone behind accept");
            return;
        }
        while (descriptorsInUse() > maxDescriptors && registry.hasEvictable()) {
            registry.evictOldest();
        }
    }

    private int descriptorsInUse() {
        return registry.openConnections() + host.healthChecksInFlight() + RESERVED_DESCRIPTORS;
    }

    /** Connections by state and bytes of unfinished messages: all 0 once all have ended. */
    String resourceSummary() {
        return registry.resourceSummary();
    }
}
