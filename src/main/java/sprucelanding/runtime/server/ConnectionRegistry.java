package sprucelanding.runtime.server;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * All connections of clients, by state. This class alone moves a connection from one state to the
 * next; who owns it, until when, and what its end settles stands here and nowhere else.
 *
 * <table>
 * <caption>States of a connection</caption>
 * <tr><th>State</th><th>Owner</th><th>Deadline</th><th>Next state, and by what</th></tr>
 * <tr><td>unjoined</td><td>{@link #unjoined}, {@link HandshakeSession}</td>
 *     <td>{@link #JOIN_TIMEOUT_MILLIS} after it was accepted</td>
 *     <td>proxy stream or collector by its first message; rejected by any other message, at the
 *     deadline, or as the oldest where descriptors are short; ended by its peer</td></tr>
 * <tr><td>rejected</td><td>{@link #rejected}, {@link HandshakeSession}</td>
 *     <td>{@link #REJECT_LINGER_MILLIS} after that</td>
 *     <td>ended by its peer, at the deadline, or as the oldest where descriptors are short</td></tr>
 * <tr><td>proxy stream</td><td>{@link #proxyStreams}, {@link ProxySession}, the host's streams</td>
 *     <td>{@link #STREAM_TIMEOUT_MILLIS} after the last sign of life, while an acknowledgement is
 *     owed; none otherwise</td>
 *     <td>ended by its peer, at the deadline, by a newer stream of the proxy, by bytes that cannot
 *     be read, by updates that the peer does not read or that cannot be written</td></tr>
 * <tr><td>collector</td><td>{@link CollectorSession}</td><td>none</td>
 *     <td>ended by its peer or by bytes that cannot be read</td></tr>
 * <tr><td>ended</td><td>nobody</td><td></td><td>{@link #closed}, once for each connection: gives
 *     back its place and its bytes; a proxy has left by that, unless a newer stream has begun</td>
 *     </tr>
 * </table>
 *
 * <p>Event loop's thread only.
 */
final class ConnectionRegistry {
    /** ms for a connection to join. */
    private static final double JOIN_TIMEOUT_MILLIS = 1200;

    /** ms for one that is rejected to take the answer and to close. */
    private static final double REJECT_LINGER_MILLIS = 500;

    /** ms without a sign of life on a stream that owes an acknowledgement. */
    private static final double STREAM_TIMEOUT_MILLIS = 10_000;

    /** Bytes of unfinished messages of all connections. */
    private static final int MAX_UNFINISHED_BYTES = 4 << 20;

    /** Connections that have not joined, oldest first. */
    private final Set<ClientConnection> unjoined = new LinkedHashSet<>();

    /** Connections that are rejected and have not ended yet, oldest first. */
    private final Set<ClientConnection> rejected = new LinkedHashSet<>();

    private final Set<ClientConnection> proxyStreams = new LinkedHashSet<>();

    /** Connections of any state. */
    private int openConnections;

    private final ByteBudget unfinishedBytes = new ByteBudget(MAX_UNFINISHED_BYTES);
    private final RejectionLog rejectionLog;
    private final EndedStreamLog endedStreamLog;

    ConnectionRegistry(EventLog eventLog) {
        rejectionLog = new RejectionLog(eventLog);
        endedStreamLog = new EndedStreamLog(eventLog);
    }

    /** Bytes that connections of any state may take for messages that are not complete. */
    ByteBudget unfinishedBytes() {
        return unfinishedBytes;
    }

    int openConnections() {
        return openConnections;
    }

    /** A connection was accepted: it is unjoined. */
    void accepted(ClientConnection connection) {
        openConnections++;
        unjoined.add(connection);
    }

    /** From unjoined to proxy stream. */
    void joinedAsProxy(ClientConnection connection) {
        unjoined.remove(connection);
        proxyStreams.add(connection);
    }

    /** From unjoined to collector. */
    void joinedAsCollector(ClientConnection connection) {
        unjoined.remove(connection);
    }

    /** From unjoined to rejected; it has been told so. */
    void rejected(ClientConnection connection, String reason) {
        unjoined.remove(connection);
        rejected.add(connection);
        connection.finish(REJECT_LINGER_MILLIS);
        rejectionLog.connectionRejected(reason);
    }

    /** From any state to ended. */
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

    /** Whether there is a connection that can be closed for the sake of another. */
    boolean hasEvictable() {
        return !rejected.isEmpty() || !unjoined.isEmpty();
    }

    /** Closes the connection that was rejected first, or else rejects the oldest unjoined one. */
    void evictOldest() {
        if (rejected.isEmpty()) {
            unjoined.iterator().next().reject("no room");
        }
        rejected.iterator().next().close();
    }

    /** Counts a message that is left out. */
    void messageDropped(String reason) {
        rejectionLog.messageDropped(reason);
    }

    /** Ends what is past its deadline, and logs what ended; to be called every now and then. */
    void checkDeadlines(double nowMillis) {
        while (!unjoined.isEmpty()
                && unjoined.iterator().next().acceptedAtMillis()
                        < nowMillis - JOIN_TIMEOUT_MILLIS) {
            unjoined.iterator().next().reject("it did not join");
        }
        for (ClientConnection stream : List.copyOf(proxyStreams)) {
            if (stream.unresponsiveSinceMillis() < nowMillis - STREAM_TIMEOUT_MILLIS) {
                stream.close("a stream that does not answer");
            }
        }
        rejectionLog.logIfDue();
        endedStreamLog.logIfDue(nowMillis, proxyStreams.size());
    }

    /** Connections by state and bytes of unfinished messages: all 0 once all have ended. */
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
