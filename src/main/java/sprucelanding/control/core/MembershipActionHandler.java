package sprucelanding.control.core;

import sprucelanding.control.membership.EvidenceExchange;
import sprucelanding.control.membership.FleetMember;

/** Carries out what the fleet's membership decides: who may write to which proxy. */
final class MembershipActionHandler implements FleetMember.Actions {
    private final GovernorHost host;
    private final SharedGovernorCore.PeerChannel peers;
    private final FleetMember fleetMember;
    private final LeasedConnections connections;
    private final GovernorCore core;
    private int lapsedLeases;

    MembershipActionHandler(
            GovernorHost host,
            SharedGovernorCore.PeerChannel peers,
            FleetMember fleetMember,
            LeasedConnections connections,
            GovernorCore core) {
        this.host = host;
        this.peers = peers;
        this.fleetMember = fleetMember;
        this.connections = connections;
        this.core = core;
    }

    /** Leases that lapsed since this was last called. */
    int takeLapsedLeases() {
        int lapsed = lapsedLeases;
        lapsedLeases = 0;
        return lapsed;
    }

    @Override
    public void sendToPeers(int governorId, Object message) {
        peers.send(governorId, message);
    }

    @Override
    public void allowWrites(long proxyKey, long epoch) {
        connections.findOpen(proxyKey).ifPresent(connection -> allowWrites(connection, epoch));
    }

    private void allowWrites(LeasedConnection connection, long epoch) {
        boolean wasAdmitted = connection.isAdmitted();
        connection.allowWrites(fleetMember.writeDeadline(connection.proxyKey()), epoch);
        ProxyConnection.ProxyParameters parameters = connection.parameters();
        if (!wasAdmitted) {
            core.proxyConnected(
                    parameters.transport(),
                    connection.stream(),
                    connection.name(),
                    parameters.zone(),
                    parameters.baselineDemand(),
                    parameters.withoutTables());
        }
        for (var update = connection.pollPending();
                update != null;
                update = connection.pollPending()) {
            host.send(parameters.transport(), update);
        }
    }

    @Override
    public void suspendWrites(long proxyKey) {
        connections
                .find(proxyKey)
                .ifPresent(
                        connection -> {
                            connection.suspendWrites();
                            lapsedLeases++;
                        });
    }

    @Override
    public void endStream(long proxyKey, boolean busy, String reason) {
        connections
                .findOpen(proxyKey)
                .ifPresent(connection -> connections.close(connection, busy, reason));
    }

    @Override
    public void applyObservation(EvidenceExchange.EndpointObservation stats) {
        boolean loadKnown = !(stats.load() < 0);
        core.peerStatsReported(
                stats.endpoint(),
                stats.attempts(),
                stats.failedAttempts(),
                stats.responseMillis(),
                loadKnown ? stats.load() : Double.NaN);
    }

    @Override
    public void logEvent(String event, Object... fields) {
        host.log(event, fields);
    }
}
