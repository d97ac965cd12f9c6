package sprucelanding.runtime.server;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import sprucelanding.control.settings.MalformedInputException;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.runtime.eventloop.TcpConnection;

/**
 * A client's connection. It splits the received bytes into lines, parses the lines as messages and
 * passes the messages to its current session. {@link ConnectionRegistry} documents the owner, the
 * deadline and the end of a connection in each state. A connection is used on the event loop's
 * thread only.
 */
final class ClientConnection implements TcpConnection.Listener {
    /** Limit on the bytes that wait for the peer to read; a proxy's own limit is half of it. */
    static final int MAX_UNSENT_BYTES = 256 << 10;

    private static final byte[] PONG = encodeLine("{\"msg\":\"pong\"}");
    private static final byte[] REFUSED = encodeLine("{\"msg\":\"refused\"}");

    private final ConnectionRegistry registry;
    private final double acceptedAtMillis;
    private final LineFramer framer;
    private ClientSession session;
    private TcpConnection transport;
    private double lastReceivedMillis;

    /**
     * Creates a connection that has not joined.
     *
     * @param proxyCount the number of proxies; a proxy's number is below it
     * @param acceptedAtMillis the current time of the event loop, ms
     */
    ClientConnection(
            ConnectionRegistry registry,
            ControllerHost host,
            int proxyCount,
            double acceptedAtMillis) {
        this.registry = registry;
        this.acceptedAtMillis = acceptedAtMillis;
        framer = new LineFramer(registry.unfinishedBytes());
        session = new HandshakeSession(this, host, proxyCount);
    }

    private static byte[] encodeLine(String json) {
        return (json + '\n').getBytes(StandardCharsets.US_ASCII);
    }

    /** Sets the transport. Called once, before the transport delivers any event. */
    void attach(TcpConnection newTransport) {
        transport = newTransport;
    }

    double acceptedAtMillis() {
        return acceptedAtMillis;
    }

    @Override
    public void onReceived(TcpConnection connection, ByteBuffer buffer) {
        lastReceivedMillis = EventLoop.nowMillis();
        while (buffer.hasRemaining() && connection.isOpen() && !connection.isClosingGracefully()) {
            LineFramer.Outcome outcome = framer.append(buffer.get(), session.maxLineBytes());
            if (outcome == LineFramer.Outcome.COMPLETE) {
                handleLine(framer.takeLine());
                framer.shrink();
            } else if (outcome == LineFramer.Outcome.LINE_TOO_LONG) {
                session.onUnreadable("a line exceeds " + session.maxLineBytes() + " bytes");
            } else if (outcome == LineFramer.Outcome.BUDGET_EXCEEDED) {
                session.onUnreadable(
                        "the unfinished messages of all connections exceed their memory budget");
            }
        }
    }

    private void handleLine(String line) {
        MessageFields fields;
        try {
            fields = MessageFields.parse(line);
        } catch (MalformedInputException e) {
            session.onUnreadable(e.getMessage());
            return;
        }
        try {
            handleMessage(fields);
        } catch (MalformedInputException e) {
            session.onMalformed(e.getMessage());
        }
    }

    private void handleMessage(MessageFields fields) {
        ClientMessageType type = fields.type();
        if (type == ClientMessageType.PING) {
            transport.write(PONG);
        } else {
            session.handle(type, fields);
        }
    }

    /** Turns the connection into a proxy's stream. */
    void joinedAsProxy(ProxySession stream) {
        session = stream;
        registry.joinedAsProxy(this);
    }

    /** Turns the connection into a collector's connection. */
    void joinedAsCollector(CollectorSession collector) {
        session = collector;
        registry.joinedAsCollector(this);
    }

    /**
     * Sends the peer the message {@code refused} and closes the connection gracefully. What the
     * peer sends after that is ignored.
     */
    void reject(String reason) {
        transport.write(REFUSED);
        if (transport.isOpen()) {
            registry.rejected(this, reason);
        }
    }

    /** Counts a message that is ignored. */
    void dropMessage(String reason) {
        registry.messageDropped(reason);
    }

    /** Sends bytes. Closes the connection if more than {@link #MAX_UNSENT_BYTES} are unsent. */
    void write(byte[] bytes) {
        transport.write(bytes);
    }

    /**
     * Closes the connection once all written bytes are sent and the peer has closed its side.
     *
     * @param lingerMillis ms after which the connection is closed in any case
     */
    void closeGracefully(double lingerMillis) {
        transport.closeGracefully(lingerMillis);
    }

    /** Closes the connection at once, without a particular reason. */
    void close() {
        transport.close();
    }

    /** Closes the connection at once, for the given reason. */
    void close(String reason) {
        transport.close(reason);
    }

    /**
     * Returns the time since which an acknowledgement is pending and the peer has sent nothing, in
     * ms of the event loop's clock.
     */
    double unresponsiveSinceMillis() {
        return session.unresponsiveSinceMillis(lastReceivedMillis);
    }

    @Override
    public boolean sendsQueuedBytesAfterPeerClose(TcpConnection connection) {
        return session.sendsQueuedBytesAfterPeerClose();
    }

    @Override
    public void onClosed(TcpConnection connection, String reason) {
        framer.release();
        registry.closed(this, session, reason);
    }
}
