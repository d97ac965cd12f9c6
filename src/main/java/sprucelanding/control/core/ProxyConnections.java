package sprucelanding.control.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import sprucelanding.control.delivery.Delivery;
import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.delivery.ResourceName;
import sprucelanding.control.delivery.StreamAdmission;
import sprucelanding.control.loadreport.LoadReport;
import sprucelanding.control.loadreport.LoadReportAggregator;

/**
 * Registry of the connected proxies, by proxy id. It passes the proxies' events to the admission,
 * the delivery, the load reports and the controller.
 */
final class ProxyConnections implements StreamAdmission.Actions {
    private final GovernorHost host;
    private final ControllerInput input;
    private final InputListener listener;
    private final List<String> zones;
    private final Delivery delivery;
    private final StreamAdmission admission;
    private final LoadReportAggregator loadReports;
    private final Map<Integer, ProxyConnection> connectionsByProxyId = new HashMap<>();

    ProxyConnections(
            GovernorHost host,
            ControllerInput input,
            InputListener listener,
            List<String> zones,
            Delivery delivery,
            StreamAdmission admission,
            LoadReportAggregator loadReports) {
        this.host = host;
        this.input = input;
        this.listener = listener;
        this.zones = zones;
        this.delivery = delivery;
        this.admission = admission;
        this.loadReports = loadReports;
    }

    /** Adds a proxy and removes an earlier stream of the same proxy. */
    void connected(ProxyStream stream, String name, ProxyConnection.ProxyParameters parameters) {
        remove(stream.proxyId);
        listener.proxyIdAssigned(host.now(), stream.proxyId, name);
        connectionsByProxyId.put(stream.proxyId, new ProxyConnection(stream, parameters));
        admission.setTime(host.now());
        admission.proxyConnected(stream.proxyId, parameters.withoutTables());
    }

    /** Handles the end of a stream; ignored if the proxy has already replaced the stream. */
    void disconnected(ProxyStream stream) {
        if (find(stream).isPresent()) {
            remove(stream.proxyId);
        }
    }

    /** Removes a proxy; ignored if the proxy is unknown. */
    void remove(int proxyId) {
        ProxyConnection connection = connectionsByProxyId.remove(proxyId);
        if (connection != null) {
            admission.proxyDisconnected(proxyId);
            delivery.proxyDisconnected(proxyId);
            loadReports.proxyLeft(proxyId);
            if (connection.isAdmitted()) {
                input.setTime(host.now());
                input.proxyLeft(proxyId);
            }
        }
    }

    /**
     * Returns the connection that belongs to the given stream; empty if the stream has ended or was
     * replaced.
     */
    Optional<ProxyConnection> find(ProxyStream stream) {
        return Optional.ofNullable(connectionsByProxyId.get(stream.proxyId))
                .filter(connection -> connection.stream() == stream);
    }

    /**
     * Returns the proxy's current connection, regardless of the stream; null if the proxy is not
     * connected.
     */
    ProxyConnection connection(int proxyId) {
        return connectionsByProxyId.get(proxyId);
    }

    /**
     * Handles the result of an update.
     *
     * @param rejection reason of the rejection; null if the proxy accepted the update
     */
    void updateResultReceived(ProxyStream stream, long updateId, String rejection) {
        double now = host.now();
        listener.updateResultReceived(now, stream.proxyId, updateId, rejection);
        delivery.setTime(now);
        if (rejection == null) {
            delivery.updateAccepted(stream, updateId);
        } else {
            delivery.updateRejected(stream, updateId, rejection);
        }
        if (stream.hasAcknowledged(ResourceName.ROUTE)) {
            admission.proxyInitialized(stream.proxyId);
        }
    }

    /** Handles a load report, unless its proxy is not admitted. */
    void loadReported(LoadReport report) {
        ProxyConnection connection = connectionsByProxyId.get(report.proxyId());
        if (connection != null && connection.isAdmitted()) {
            listener.loadReported(host.now(), report);
            loadReports.accept(report);
        }
    }

    long admittedCount() {
        return connectionsByProxyId.values().stream().filter(ProxyConnection::isAdmitted).count();
    }

    @Override
    public void admit(int proxyId) {
        ProxyConnection connection = connectionsByProxyId.get(proxyId);
        ProxyConnection.ProxyParameters parameters = connection.parameters();
        connection.admit();
        delivery.streamAdmitted(connection.stream());
        input.setTime(host.now());
        input.proxyJoined(
                proxyId,
                Math.max(0, zones.indexOf(parameters.zone())),
                parameters.baselineDemand(),
                parameters.withoutTables());
    }

    @Override
    public void reject(int proxyId, String reason) {
        ProxyConnection connection = connectionsByProxyId.remove(proxyId);
        host.log("proxy stream rejected", "proxy", proxyId, "why", reason);
        host.closeStream(connection.transport(), connection.stream(), true, reason);
    }
}
