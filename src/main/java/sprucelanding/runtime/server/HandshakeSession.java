package sprucelanding.runtime.server;

import sprucelanding.control.settings.MalformedInputException;

/**
 * The session of a connection that has not joined, or that was rejected. The first message other
 * than a ping must be the join message of a proxy or a collector. The connection is rejected on any
 * other input.
 */
final class HandshakeSession implements ClientSession {
    private static final int MAX_LINE_BYTES = 4096;

    private final ClientConnection connection;
    private final ControllerHost host;
    private final int proxyCount;

    HandshakeSession(ClientConnection connection, ControllerHost host, int proxyCount) {
        this.connection = connection;
        this.host = host;
        this.proxyCount = proxyCount;
    }

    @Override
    public void handle(ClientMessageType type, MessageFields fields) {
        if (type == ClientMessageType.JOINED) {
            joinProxy(JoinMessage.parse(fields, host, proxyCount));
        } else if (type == ClientMessageType.COLLECTOR) {
            fields.zoneIndex(host); // must name a zone of the site, but is not used
            connection.joinedAsCollector(new CollectorSession(connection, host, proxyCount));
        } else {
            throw new MalformedInputException(
                    "the first message is not a join message: "
                            + MessageFields.excerpt(fields.text(MessageFields.TYPE)));
        }
    }

    private void joinProxy(JoinMessage message) {
        ProxySession stream = new ProxySession(connection, host, message.proxyId(), proxyCount);
        connection.joinedAsProxy(stream);
        host.proxyJoined(message, stream);
    }

    @Override
    public int maxLineBytes() {
        return MAX_LINE_BYTES;
    }

    @Override
    public void onMalformed(String reason) {
        connection.reject(reason);
    }

    @Override
    public void onUnreadable(String reason) {
        connection.reject(reason);
    }

    /** A peer that closes its side after pings still receives the pongs. */
    @Override
    public boolean sendsQueuedBytesAfterPeerClose() {
        return true;
    }

    @Override
    public double unresponsiveSinceMillis(double lastReceivedMillis) {
        return Double.POSITIVE_INFINITY;
    }

    @Override
    public void onClosed() {
        // nothing depends on a connection that has not joined
    }
}
