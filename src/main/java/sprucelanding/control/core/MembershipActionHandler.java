package sprucelanding.control.core;

import sprucelanding.control.membership.EvidenceExchange;
import sprucelanding.control.membership.FleetMember;

/** Executor of the membership's decisions on which governor may write to which proxy. */
final class MembershipActionHandler implements FleetMember.Actions {
    private final GovernorHost host;
    private final SharedGovernorCore.PeerChannel peers;
    private final FleetMember fleetMember;
    private final LeasedConnections connections;
    private final GovernorCore core;
    private int lapsedLeaseCount;

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

    /** Returns the number of leases that have lapsed since the last call, and resets it. */
    int takeLapsedLeaseCount() {
        int lapsed = lapsedLeaseCount;
        lapsedLeaseCount = 0;
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
                            lapsedLeaseCount++;
                        });
    }

    @Override
    public void endStream(long proxyKey, boolean busy, String reason) {
        connections
                .findOpen(proxyKey)
                .ifPresent(connection -> connections.close(connection, busy, reason));
    }

    @Override
    public void applyObservation(EvidenceExchange.EndpointObservation observation) {
        boolean isLoadKnown = !(observation.load() < 0);
        core.peerStatsReported(
                observation.endpoint(),
                observation.attempts(),
                observation.failedAttempts(),
                observation.responseMillis(),
                isLoadKnown ? observation.load() : Double.NaN);
    }

    @Override
    public void logEvent(String event, Object... fields) {
        host.log(event, fields);
    }
}
