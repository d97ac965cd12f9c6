package sprucelanding.runtime.server;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The registry of all client connections, by state. Only this class moves a connection from one
 * state to the next. The owner of a connection, its deadline and the effects of its end are defined
 * here and nowhere else.
 *
 * <table>
 * <caption>States of a connection</caption>
 * <tr><th>State</th><th>Owner</th><th>Deadline</th><th>Next state and its cause</th></tr>
 * <tr><td>unjoined</td><td>{@link #unjoined}, {@link HandshakeSession}</td>
 *     <td>{@link #JOIN_TIMEOUT_MILLIS} after the connection was accepted</td>
 *     <td>proxy stream or collector: by its first message; rejected: by any other message, at the
 *     deadline, or as the oldest connection when descriptors run short; ended: by its peer</td></tr>
 * <tr><td>rejected</td><td>{@link #rejected}, {@link HandshakeSession}</td>
 *     <td>{@link #REJECT_LINGER_MILLIS} after the rejection</td>
 *     <td>ended: by its peer, at the deadline, or as the oldest connection when descriptors run
 *     short</td></tr>
 * <tr><td>proxy stream</td><td>{@link #proxyStreams}, {@link ProxySession}, the host's streams</td>
 *     <td>{@link #STREAM_TIMEOUT_MILLIS} after the last bytes from the peer, while an
 *     acknowledgement is pending; none otherwise</td>
 *     <td>ended: by its peer, at the deadline, by a newer stream of the proxy, by input that cannot
 *     be parsed, by updates that the peer does not read or that cannot be written</td></tr>
 * <tr><td>collector</td><td>{@link CollectorSession}</td><td>none</td>
 *     <td>ended: by its peer or by input that cannot be parsed</td></tr>
 * <tr><td>ended</td><td>none</td><td></td><td>none; {@link #closed} is called once for each
 *     connection and releases its entries and its bytes. The proxy has left then, unless a newer
 *     stream of the proxy has begun</td></tr>
 * </table>
 *
 * <p>The registry is used on the event loop's thread only.
 */
final class ConnectionRegistry {
    /** Time within which a connection has to join. */
    private static final double JOIN_TIMEOUT_MILLIS = 1200;

    /** Time for the peer of a rejected connection to read the answer and to close. */
    private static final double REJECT_LINGER_MILLIS = 500;

    /**
     * Time without bytes from the peer after which a stream with a pending acknowledgement ends.
     */
    private static final double STREAM_TIMEOUT_MILLIS = 10_000;

    /** Limit on the bytes of unfinished messages of all connections together. */
    private static final int MAX_UNFINISHED_BYTES = 4 << 20;

    /** Connections that have not joined, oldest first. */
    private final Set<ClientConnection> unjoined = new LinkedHashSet<>();

    /** Connections that are rejected and not closed yet, oldest first. */
    private final Set<ClientConnection> rejected = new LinkedHashSet<>();

    private final Set<ClientConnection> proxyStreams = new LinkedHashSet<>();

    /** Number of connections in any state. */
    private int openConnections;

    private final ByteBudget unfinishedBytes = new ByteBudget(MAX_UNFINISHED_BYTES);
    private final RejectionLog rejectionLog;
    private final EndedStreamLog endedStreamLog;

    ConnectionRegistry(EventLog eventLog) {
        rejectionLog = new RejectionLog(eventLog);
        endedStreamLog = new EndedStreamLog(eventLog);
    }

    /** Returns the budget for incomplete messages, shared by connections in any state. */
    ByteBudget unfinishedBytes() {
        return unfinishedBytes;
    }

    int openConnections() {
        return openConnections;
    }

    /** Adds an accepted connection as unjoined. */
    void accepted(ClientConnection connection) {
        openConnections++;
        unjoined.add(connection);
    }

    /** Moves a connection from unjoined to proxy stream. */
    void joinedAsProxy(ClientConnection connection) {
        unjoined.remove(connection);
        proxyStreams.add(connection);
    }

    /** Moves a connection from unjoined to collector. */
    void joinedAsCollector(ClientConnection connection) {
        unjoined.remove(connection);
    }

    /** Moves a connection from unjoined to rejected. The rejection has been sent to the peer. */
    void rejected(ClientConnection connection, String reason) {
        unjoined.remove(connection);
        rejected.add(connection);
        connection.closeGracefully(REJECT_LINGER_MILLIS);
        rejectionLog.connectionRejected(reason);
    }

    /** Moves a connection from any state to ended. */
    void closed(ClientConnection connection, ClientSession session, String reason) {
        openConnections--;
        unjoined.remove(connection);
        rejected.remove(connection);
        boolean wasProxyStream = proxyStreams.remove(connection);
        session.onClosed();
        if (wasProxyStream) {
            endedStreamLog.streamEnded(reason);
        }
    }

    /** Returns whether there is a connection that can be closed to release its descriptor. */
    boolean hasEvictableConnection() {
        return !rejected.isEmpty() || !unjoined.isEmpty();
    }

    /**
     * Closes the connection that was rejected first. If there is none, rejects and closes the
     * oldest unjoined connection, which the rejection itself may have closed.
     */
    void evictOldest() {
        boolean hasRejected = !rejected.isEmpty();
        ClientConnection oldest = (hasRejected ? rejected : unjoined).iterator().next();
        if (!hasRejected) {
            oldest.reject("evicted: the descriptors of the process are used up");
        }
        oldest.close();
    }

    /** Counts a message that is ignored. */
    void messageDropped(String reason) {
        rejectionLog.messageDropped(reason);
    }

    /** Ends connections past their deadline and logs what has ended. Called periodically. */
    void checkDeadlines(double nowMillis) {
        while (!unjoined.isEmpty()
                && unjoined.iterator().next().acceptedAtMillis()
                        < nowMillis - JOIN_TIMEOUT_MILLIS) {
            unjoined.iterator().next().reject("no join message within the time limit");
        }
        for (ClientConnection stream : List.copyOf(proxyStreams)) {
            if (stream.unresponsiveSinceMillis() < nowMillis - STREAM_TIMEOUT_MILLIS) {
                stream.close("no acknowledgement within the time limit");
            }
        }
        rejectionLog.logIfDue();
        endedStreamLog.logIfDue(nowMillis, proxyStreams.size());
    }

    /**
     * Returns the number of connections by state and the bytes of unfinished messages. All are 0
     * once all connections are closed.
     */
    String resourceSummary() {
        return openConnections
                + " open, "
                + unfinishedBytes.reservedBytes()
                + " bytes, "
                + unjoined.size()
                + " unjoined, "
                + rejected.size()
                + " rejected, "
                + proxyStreams.size()
                + " streams";
    }
}
