package sprucelanding.runtime.server;

import sprucelanding.control.settings.MalformedInputException;

/**
 * A connection that has not joined, also once it was rejected. Its first message must be that of a
 * proxy or a collector; anything else has it rejected.
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
            fields.zoneIndex(host); // must be one of the site's, and is not used
            connection.joinedAsCollector(new CollectorSession(connection, host, proxyCount));
        } else {
            throw new MalformedInputException("it did not join first");
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

    /** One that has pinged and ended its side is still owed the pongs. */
    @Override
    public boolean drainsAfterPeerClose() {
        return true;
    }

    @Override
    public double unresponsiveSinceMillis(double lastReceivedMillis) {
        return Double.POSITIVE_INFINITY;
    }

    @Override
    public void onClosed() {
        // nothing depends on it yet
    }
}
