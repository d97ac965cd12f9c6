package sprucelanding.control.core;

import java.util.Optional;
import sprucelanding.control.delivery.DeliveryActions;
import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.delivery.ResourceUpdate;

/** Executor of the delivery's decisions. */
final class DeliveryActionHandler implements DeliveryActions {
    private final GovernorHost host;
    private final ControllerInput input;
    private final InputListener listener;
    private final ProxyConnections proxies;
    private final BatchTracker batch;

    DeliveryActionHandler(
            GovernorHost host,
            ControllerInput input,
            InputListener listener,
            ProxyConnections proxies,
            BatchTracker batch) {
        this.host = host;
        this.input = input;
        this.listener = listener;
        this.proxies = proxies;
        this.batch = batch;
    }

    @Override
    public void send(ResourceUpdate update) {
        listener.updateSent(batch.startedAt(), update);
        host.send(proxies.connection(update.stream.proxyId).transport(), update);
    }

    /**
     * Closes the stream, unless it has already ended or the proxy has replaced it with a newer one.
     */
    @Override
    public void closeStream(ProxyStream stream, String reason) {
        Optional<ProxyConnection> connection = proxies.find(stream);
        if (connection.isPresent()) {
            host.log("closing a proxy stream", "proxy", stream.proxyId, "why", reason);
            proxies.remove(stream.proxyId);
            host.closeStream(connection.get().transport(), stream, false, reason);
        }
    }

    @Override
    public void acknowledged(ProxyStream stream, int serial) {
        ProxyConnection connection = proxies.connection(stream.proxyId);
        if (connection != null) {
            host.batchAcknowledged(connection.transport(), host.now() - batch.decidedAt(serial));
        }
        batch.inputReceived();
        input.acknowledged(serial);
    }

    @Override
    public void log(String event, Object... fields) {
        host.log(event, fields);
    }
}
