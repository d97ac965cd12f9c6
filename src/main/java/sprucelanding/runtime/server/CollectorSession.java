package sprucelanding.runtime.server;

import java.util.OptionalInt;
import sprucelanding.control.settings.MalformedInputException;

/**
 * The session of a zone's collector. It receives reports of the zone's proxies on endpoints and on
 * demand.
 */
final class CollectorSession implements ClientSession {
    private final ClientConnection connection;
    private final ControllerHost host;
    private final int proxyCount;

    CollectorSession(ClientConnection connection, ControllerHost host, int proxyCount) {
        this.connection = connection;
        this.host = host;
        this.proxyCount = proxyCount;
    }

    @Override
    public void handle(ClientMessageType type, MessageFields fields) {
        if (type == ClientMessageType.ENDPOINT_STATS) {
            host.endpointStatsReported(EndpointStatsMessage.parse(fields, host));
        } else if (type == ClientMessageType.USAGE) {
            host.demandReported(UsageMessage.parse(fields, host, proxyCount, OptionalInt.empty()));
        } else {
            throw new MalformedInputException(
                    "message type not accepted from a collector: "
                            + MessageFields.excerpt(fields.text(MessageFields.TYPE)));
        }
    }

    @Override
    public int maxLineBytes() {
        return ProxySession.MAX_LINE_BYTES;
    }

    @Override
    public void onMalformed(String reason) {
        connection.dropMessage(reason);
    }

    @Override
    public void onUnreadable(String reason) {
        connection.close(reason);
    }

    @Override
    public boolean sendsQueuedBytesAfterPeerClose() {
        return false;
    }

    @Override
    public double unresponsiveSinceMillis(double lastReceivedMillis) {
        return Double.POSITIVE_INFINITY;
    }

    @Override
    public void onClosed() {
        // nothing depends on a collector's connection
    }
}
