package sprucelanding.runtime.server;

import java.util.OptionalInt;
import sprucelanding.control.settings.MalformedInputException;
import sprucelanding.runtime.eventloop.EventLoop;

/**
 * The session of a proxy's stream. It sends updates and receives acknowledgements and reports of
 * the proxy's own demand.
 */
final class ProxySession implements ClientSession, UpdateStream {
    /** Maximum length of a line from a joined client. */
    static final int MAX_LINE_BYTES = 1 << 20;

    private final ClientConnection connection;
    private final ControllerHost host;
    private final int proxyId;
    private final int proxyCount;
    private final PendingAcknowledgements acknowledgements = new PendingAcknowledgements();

    ProxySession(ClientConnection connection, ControllerHost host, int proxyId, int proxyCount) {
        this.connection = connection;
        this.host = host;
        this.proxyId = proxyId;
        this.proxyCount = proxyCount;
    }

    @Override
    public void handle(ClientMessageType type, MessageFields fields) {
        if (type == ClientMessageType.APPLIED) {
            AppliedMessage message = AppliedMessage.parse(fields);
            acknowledgements.acknowledge(message.acknowledgementId(), EventLoop.nowMillis());
            host.updateAcknowledged(proxyId, message.acknowledgementId());
        } else if (type == ClientMessageType.USAGE) {
            host.demandReported(
                    UsageMessage.parse(fields, host, proxyCount, OptionalInt.of(proxyId)));
        } else {
            throw new MalformedInputException(
                    "message type not accepted from a proxy: "
                            + MessageFields.excerpt(fields.text(MessageFields.TYPE)));
        }
    }

    @Override
    public void write(byte[] update, int acknowledgementId) {
        acknowledgements.request(acknowledgementId, EventLoop.nowMillis());
        connection.write(update);
    }

    @Override
    public void superseded() {
        connection.close("superseded by a newer stream of the proxy");
    }

    @Override
    public void fail(String reason) {
        connection.close(reason);
    }

    @Override
    public int maxLineBytes() {
        return MAX_LINE_BYTES;
    }

    @Override
    public void onMalformed(String reason) {
        connection.dropMessage(reason);
    }

    @Override
    public void onUnreadable(String reason) {
        connection.close(reason);
    }

    /** A proxy that has closed its side has left. */
    @Override
    public boolean sendsQueuedBytesAfterPeerClose() {
        return false;
    }

    @Override
    public double unresponsiveSinceMillis(double lastReceivedMillis) {
        return Math.max(lastReceivedMillis, acknowledgements.pendingSinceMillis());
    }

    @Override
    public void onClosed() {
        host.proxyLeft(proxyId, this);
    }
}
