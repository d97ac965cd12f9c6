package sprucelanding.control.core;

import java.util.Optional;
import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.delivery.ResourceUpdate;
import sprucelanding.control.discovery.ListedEndpoint;
import sprucelanding.control.membership.FleetMember;

/**
 * Host of a core that shares the fleet with other governors. It holds back updates to a proxy while
 * this governor has no valid lease for the proxy.
 */
final class LeaseCheckingHost implements GovernorCore.Host {
    private final GovernorHost host;
    private final FleetMember fleetMember;
    private final LeasedConnections connections;

    LeaseCheckingHost(GovernorHost host, FleetMember fleetMember, LeasedConnections connections) {
        this.host = host;
        this.fleetMember = fleetMember;
        this.connections = connections;
    }

    @Override
    public double now() {
        return host.now();
    }

    @Override
    public void schedule(double time, Runnable step) {
        host.schedule(time, step);
    }

    /**
     * Sends the update if the lease permits; otherwise queues the update until the next lease.
     * Updates on streams that have ended are dropped.
     */
    @Override
    public void send(Object transport, ResourceUpdate update) {
        Optional<LeasedConnection> found = connections.find(update.stream);
        if (found.isEmpty() || found.get().isClosed()) {
            return;
        }
        LeasedConnection connection = found.get();
        if (connection.permitsWriteAt(host.now())) {
            host.send(transport, update);
        } else if (!connection.enqueue(update)) {
            connections
                    .findOpen(connection.proxyKey())
                    .ifPresent(
                            open ->
                                    connections.close(
                                            open, true, "too many messages wait for its lease"));
        }
    }

    /** Closes the connection and the stream. The core has already removed the stream. */
    @Override
    public void closeStream(Object transport, ProxyStream stream, boolean busy, String reason) {
        connections.find(stream).ifPresent(LeasedConnection::close);
        host.closeStream(transport, stream, busy, reason);
    }

    @Override
    public void startHealthCheck(ListedEndpoint endpoint) {
        host.startHealthCheck(endpoint);
    }

    @Override
    public void broadcastToPeers(byte[] payload) {
        host.broadcastToPeers(payload);
    }

    @Override
    public void watchEndpointList() {
        host.watchEndpointList();
    }

    @Override
    public void batchAcknowledged(Object transport, double delayMillis) {
        host.batchAcknowledged(transport, delayMillis);
    }

    @Override
    public void endpointListed(ListedEndpoint endpoint) {
        host.endpointListed(endpoint);
    }

    /**
     * Records the statistics of this governor's own proxies, which are shared with the other
     * governors.
     */
    @Override
    public void endpointStatsReported(
            long endpointId, int attempts, int failed, double responseMillis, double load) {
        fleetMember.recordOwnObservation(endpointId, attempts, failed, responseMillis, load);
    }

    @Override
    public void log(String event, Object... fields) {
        host.log(event, fields);
    }

    @Override
    public void decisionFailed(RuntimeException failure) {
        host.decisionFailed(failure);
    }
}
