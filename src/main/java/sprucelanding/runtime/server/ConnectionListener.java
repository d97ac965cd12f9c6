package sprucelanding.runtime.server;

import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import sprucelanding.runtime.eventloop.EventLoop;

/**
 * Where proxies and collectors connect. Whoever has not joined in time is refused, and the oldest
 * of them where room is short.
 */
final class ConnectionListener {
    private static final int BACKLOG = 1024;
    private static final double JOIN_TIMEOUT_MILLIS = 1200; // ms for a connection to join
    private static final double CHECK_INTERVAL_MILLIS = 100; // ms
    private static final double STREAM_TIMEOUT_MILLIS =
            10_000; // ms without a word on a stream that owes an answer
    private static final int MAX_UNFINISHED_BYTES = 4 << 20; // bytes of unfinished messages in all
    private static final double REJECT_LINGER_MILLIS =
            500; // ms for one that is refused to take the answer and to close
    private static final double ENDED_LOG_INTERVAL_MILLIS = 1000; // ms
    private static final int MAX_LOGGED_REASONS =
            16; // of which no more is kept than a peer may cause
    private static final int RESERVED_DESCRIPTORS =
            40; // descriptors of the program itself, and some to spare

    private final EventLoop loop;
    private final ControllerHost host;
    private final EventLog eventLog;
    private final int proxyCount;
    private final int maxDescriptors;

    /** Connections that have not joined, oldest first. */
    private final Set<ClientConnection> unjoined = new LinkedHashSet<>();

    /** Connections that are refused and have not closed yet, oldest first. */
    private final Set<ClientConnection> closing = new LinkedHashSet<>();

    private final Set<ClientConnection> proxyStreams = new LinkedHashSet<>();
    private int openConnections;
    private int unfinishedBytes;
    private long rejectedCount;
    private long droppedMessages;
    private long rejectedLogged;
    private long droppedMessagesLogged;

    /** Streams of proxies that ended since that was last logged, by reason. */
    private final Map<String, Integer> endedStreamsByReason = new TreeMap<>();

    private double endedLoggedAtMillis;

    /** Proxies are numbered below that; sockets are the descriptors that the process may hold. */
    ConnectionListener(
            EventLoop loop,
            ControllerHost host,
            EventLog eventLog,
            int proxyCount,
            int maxDescriptors) {
        this.loop = loop;
        this.host = host;
        this.eventLog = eventLog;
        this.proxyCount = proxyCount;
        this.maxDescriptors = maxDescriptors;
    }

    /** Throws UncheckedIOException if it cannot listen there. */
    void start(InetSocketAddress address) {
        loop.listen(address, BACKLOG, this::onAccepted);
        loop.scheduleWithFixedDelay(CHECK_INTERVAL_MILLIS, this::checkTimeouts);
    }

    /** One more connection; what cannot be taken on is closed and leaves nothing behind. */
    void onAccepted(SocketChannel channel) {
        openConnections++;
        ClientConnection connection =
                new ClientConnection(this, host, proxyCount, EventLoop.nowMillis());
        unjoined.add(connection);
        try {
            connection.transport =
                    loop.register(channel, ClientConnection.MAX_UNSENT_BYTES, connection);
        } catch (UncheckedIOException e) { // it is gone already
            connection.onClosed(null, "gone behind accept");
            return;
        }
        while (openConnections + host.healthChecksInFlight() + RESERVED_DESCRIPTORS > maxDescriptors
                && !(closing.isEmpty() && unjoined.isEmpty())) {
            if (closing.isEmpty()) {
                unjoined.iterator().next().reject("no room");
            }
            closing.iterator().next().transport.close();
        }
    }

    private void checkTimeouts() {
        double nowMillis = EventLoop.nowMillis();
        while (!unjoined.isEmpty()
                && unjoined.iterator().next().acceptedAtMillis < nowMillis - JOIN_TIMEOUT_MILLIS) {
            unjoined.iterator().next().reject("it did not join");
        }
        for (ClientConnection connection : List.copyOf(proxyStreams)) {
            if (connection.unresponsiveSince() < nowMillis - STREAM_TIMEOUT_MILLIS) {
                connection.transport.close("a stream that does not answer");
            }
        }
        if (rejectedCount - rejectedLogged >= 100
                || droppedMessages - droppedMessagesLogged >= 100) {
            eventLog.log(
                    new LogLine(ServerEvent.REJECTION_TOTALS)
                            .with("connections_rejected", rejectedCount)
                            .with("messages_dropped", droppedMessages));
            rejectedLogged = rejectedCount;
            droppedMessagesLogged = droppedMessages;
        }
        if (!endedStreamsByReason.isEmpty()
                && nowMillis - endedLoggedAtMillis >= ENDED_LOG_INTERVAL_MILLIS) {
            eventLog.log(
                    new LogLine(ServerEvent.STREAMS_ENDED)
                            .with("open", proxyStreams.size())
                            .with("reasons", endedStreamsByReason.toString()));
            endedStreamsByReason.clear();
            endedLoggedAtMillis = nowMillis;
        }
    }

    /** Counts the end of a proxy's stream for the log, by its reason. */
    void streamEnded(String reason) {
        endedStreamsByReason.merge(
                endedStreamsByReason.size() < MAX_LOGGED_REASONS
                                || endedStreamsByReason.containsKey(reason)
                        ? reason
                        : "other",
                1,
                Integer::sum);
    }

    void onJoined(ClientConnection connection, boolean isProxy) {
        unjoined.remove(connection);
        if (isProxy) {
            proxyStreams.add(connection);
        }
    }

    /** More bytes of an unfinished message are kept, or fewer; false if that is too much. */
    boolean reserveBytes(int byteCount) {
        unfinishedBytes += byteCount;
        return unfinishedBytes <= MAX_UNFINISHED_BYTES;
    }

    /** It is told so, and has some time to take that. */
    void reject(ClientConnection connection, String reason) {
        unjoined.remove(connection);
        closing.add(connection);
        connection.transport.finish(REJECT_LINGER_MILLIS);
        if (rejectedCount++ == 0) {
            eventLog.log(ServerEvent.CONNECTION_REJECTED, reason);
        }
    }

    void messageDropped(String reason) {
        if (droppedMessages++ == 0) {
            eventLog.log(ServerEvent.MESSAGE_DROPPED, reason);
        }
    }

    void onClosed(ClientConnection connection) {
        openConnections--;
        unjoined.remove(connection);
        closing.remove(connection);
        proxyStreams.remove(connection);
    }

    /**
     * Connections, bytes of unfinished messages, and those that are not let in or are on their way
     * out: none, where all have ended.
     */
    String resourceSummary() {
        return openConnections
                + " open, "
                + unfinishedBytes
                + " bytes, "
                + unjoined.size()
                + " strangers, "
                + closing.size()
                + " leaving, "
                + proxyStreams.size()
                + " streams";
    }
}
