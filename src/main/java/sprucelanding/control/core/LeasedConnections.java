package sprucelanding.control.core;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import sprucelanding.control.delivery.ProxyStream;

/**
 * Registry of the proxy connections of a governor that shares the fleet, by proxy key and by proxy
 * id.
 */
final class LeasedConnections {
    private final GovernorHost host;
    private final Consumer<ProxyStream> disconnectFromCore;
    private final Map<Long, LeasedConnection> connectionsByKey = new HashMap<>();
    private final Map<Integer, LeasedConnection> connectionsByProxyId = new HashMap<>();

    /**
     * Creates an empty registry.
     *
     * @param disconnectFromCore notifies the core of the end of a stream that the core knows
     */
    LeasedConnections(GovernorHost host, Consumer<ProxyStream> disconnectFromCore) {
        this.host = host;
        this.disconnectFromCore = disconnectFromCore;
    }

    /** Adds a connection and ends writes on an earlier connection of the same proxy. */
    void add(LeasedConnection connection) {
        LeasedConnection previous = connectionsByKey.put(connection.proxyKey(), connection);
        connectionsByProxyId.put(connection.stream().proxyId, connection);
        if (previous != null) {
            stopWriting(previous);
        }
    }

    /**
     * Removes the connection that belongs to the given stream; returns empty if the stream is
     * unknown or was replaced.
     */
    Optional<LeasedConnection> remove(ProxyStream stream) {
        Optional<LeasedConnection> found = find(stream);
        found.ifPresent(
                connection -> {
                    stopWriting(connection);
                    connectionsByKey.remove(connection.proxyKey());
                    connectionsByProxyId.remove(stream.proxyId);
                });
        return found;
    }

    private void stopWriting(LeasedConnection connection) {
        boolean wasAdmitted = connection.isAdmitted();
        connection.stopWriting();
        if (wasAdmitted) {
            disconnectFromCore.accept(connection.stream());
        }
    }

    /** Closes a stream on this governor's own decision. */
    void close(LeasedConnection connection, boolean busy, String reason) {
        boolean wasAdmitted = connection.isAdmitted();
        connection.close();
        if (wasAdmitted) {
            disconnectFromCore.accept(connection.stream());
        }
        ProxyStream stream = connection.stream();
        host.log("closing a proxy stream", "proxy", stream.proxyId, "why", reason);
        host.closeStream(connection.parameters().transport(), stream, busy, reason);
    }

    /**
     * Returns the connection that belongs to the given stream; empty if the stream is unknown or
     * was replaced.
     */
    Optional<LeasedConnection> find(ProxyStream stream) {
        return Optional.ofNullable(connectionsByProxyId.get(stream.proxyId))
                .filter(connection -> connection.stream() == stream);
    }

    /**
     * Returns the open connection of the proxy with this key; empty if the proxy has no open
     * connection.
     */
    Optional<LeasedConnection> findOpen(long proxyKey) {
        return find(proxyKey).filter(connection -> !connection.isClosed());
    }

    /**
     * Returns the connection of the proxy with this key, open or closed; empty if the proxy has
     * none.
     */
    Optional<LeasedConnection> find(long proxyKey) {
        return Optional.ofNullable(connectionsByKey.get(proxyKey));
    }

    Iterable<LeasedConnection> all() {
        return connectionsByKey.values();
    }

    int size() {
        return connectionsByKey.size();
    }
}
