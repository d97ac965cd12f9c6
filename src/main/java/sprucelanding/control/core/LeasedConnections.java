package sprucelanding.control.core;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import sprucelanding.control.delivery.ProxyStream;

/** The connections of a governor that shares the fleet, by the proxy's key and by its number. */
final class LeasedConnections {
    private final GovernorHost host;
    private final Consumer<ProxyStream> coreDisconnect;
    private final Map<Long, LeasedConnection> connectionsByKey = new HashMap<>();
    private final Map<Integer, LeasedConnection> connectionsByProxyId = new HashMap<>();

    /**
     * Creates an empty registry.
     *
     * @param coreDisconnect tells the core that a stream that it knows has ended
     */
    LeasedConnections(GovernorHost host, Consumer<ProxyStream> coreDisconnect) {
        this.host = host;
        this.coreDisconnect = coreDisconnect;
    }

    /** Adds a connection; nothing more is written on a former one of the same proxy. */
    void add(LeasedConnection connection) {
        LeasedConnection previous = connectionsByKey.put(connection.proxyKey(), connection);
        connectionsByProxyId.put(connection.stream().proxyId, connection);
        if (previous != null) {
            stopWriting(previous);
        }
    }

    /** Removes the connection of this very stream; empty if it is not known or was replaced. */
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
            coreDisconnect.accept(connection.stream());
        }
    }

    /** Closes a stream for this governor's own reasons. */
    void close(LeasedConnection connection, boolean busy, String reason) {
        boolean wasAdmitted = connection.isAdmitted();
        connection.close();
        if (wasAdmitted) {
            coreDisconnect.accept(connection.stream());
        }
        ProxyStream stream = connection.stream();
        host.log("a stream is ended", "proxy", stream.proxyId, "why", reason);
        host.closeStream(connection.parameters().transport(), stream, busy, reason);
    }

    /** The connection of this very stream; empty if it is not known or was replaced. */
    Optional<LeasedConnection> find(ProxyStream stream) {
        return Optional.ofNullable(connectionsByProxyId.get(stream.proxyId))
                .filter(connection -> connection.stream() == stream);
    }

    /** The connection of the proxy with this key; empty if it has none that is open. */
    Optional<LeasedConnection> findOpen(long proxyKey) {
        return find(proxyKey).filter(connection -> !connection.isClosed());
    }

    /** The connection of the proxy with this key, closed or not; empty if it has none. */
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
