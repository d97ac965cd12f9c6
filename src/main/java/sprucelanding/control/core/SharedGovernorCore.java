package sprucelanding.control.core;

import java.util.function.Function;
import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.membership.FleetMember;
import sprucelanding.control.membership.Leases;

/**
 * {@link GovernorCore} that shares the fleet with other governors.
 *
 * <p>A proxy that connects is passed to the core once this governor owns the proxy. Nothing is sent
 * to the proxy while this governor does not own it. The proxy's stream carries the lease under
 * which writes are permitted. Without other governors this class only passes calls on to the core.
 *
 * <p>The host uses it like a core: the host reports events and then calls {@link #processBatch},
 * all from one thread.
 */
public final class SharedGovernorCore {
    /** Channel to the other governors; messages may be lost. */
    public interface PeerChannel {
        /**
         * Sends a message.
         *
         * @param governorId id of the recipient; -1 for all governors
         */
        void send(int governorId, Object message);
    }

    /** Interval between membership and lease checks, in ms. */
    private static final double MEMBERSHIP_CHECK_INTERVAL_MILLIS = 50;

    private final GovernorHost host;
    private final FleetMember fleetMember;
    private final GovernorCore core;
    private final Function<String, Integer> zoneIndexByName;
    private final LeasedConnections connections;
    private final MembershipActionHandler membershipHandler;
    private Runnable onDrained;

    /**
     * Creates the core of one governor.
     *
     * @param fleetMember this governor's membership; null if there are no other governors
     * @param zoneIndexByName maps a zone's name to its index, or to -1 if the zone is unknown
     * @param coreFactory creates the core on the given host
     */
    public SharedGovernorCore(
            GovernorCore.Host host,
            PeerChannel peers,
            FleetMember fleetMember,
            Function<String, Integer> zoneIndexByName,
            Function<GovernorCore.Host, GovernorCore> coreFactory) {
        this.host = host;
        this.fleetMember = fleetMember;
        this.zoneIndexByName = zoneIndexByName;
        connections = new LeasedConnections(host, this::disconnectFromCore);
        core =
                coreFactory.apply(
                        fleetMember == null
                                ? host
                                : new LeaseCheckingHost(host, fleetMember, connections));
        membershipHandler =
                new MembershipActionHandler(host, peers, fleetMember, connections, core);
    }

    private void disconnectFromCore(ProxyStream stream) {
        core.proxyDisconnected(stream);
    }

    /** Returns the core, for events that do not depend on a proxy's owner. */
    public GovernorCore core() {
        return core;
    }

    /**
     * Starts the periodic work of the core and of the membership; see {@link GovernorCore#start}.
     */
    public void start(String savedList, boolean pushed, double periodMillis) {
        core.start(savedList, pushed, periodMillis);
        if (fleetMember != null) {
            renewStreamLeases();
        }
    }

    private void renewStreamLeases() {
        fleetMember.advanceTo(host.now());
        for (LeasedConnection connection : connections.all()) {
            if (connection.isWritable()) {
                connection.renewLease(fleetMember.writeDeadline(connection.proxyKey()));
            }
        }
        host.schedule(host.now() + MEMBERSHIP_CHECK_INTERVAL_MILLIS, this::renewStreamLeases);
    }

    /** Handles a new proxy connection; see {@link GovernorCore#proxyConnected}. */
    public void proxyConnected(
            Object transport,
            ProxyStream stream,
            String name,
            String zone,
            double baselineDemand,
            boolean withoutTables) {
        if (fleetMember == null) {
            core.proxyConnected(transport, stream, name, zone, baselineDemand, withoutTables);
            return;
        }
        LeasedConnection connection =
                new LeasedConnection(
                        Leases.proxyKey(name),
                        name,
                        stream,
                        new ProxyConnection.ProxyParameters(
                                transport, zone, baselineDemand, withoutTables));
        stream.revokeLease();
        connections.add(connection);
        fleetMember.advanceTo(host.now());
        fleetMember.onProxyConnected(connection.proxyKey(), zoneIndexByName.apply(zone));
    }

    /** Handles the end of a stream. */
    public void proxyDisconnected(ProxyStream stream) {
        if (fleetMember == null) {
            core.proxyDisconnected(stream);
            return;
        }
        connections
                .remove(stream)
                .ifPresent(
                        connection -> {
                            fleetMember.advanceTo(host.now());
                            fleetMember.onProxyDisconnected(connection.proxyKey());
                        });
    }

    /** Handles a message from another governor, as decoded by {@code PeerCodec}. */
    public void peerMessageReceived(Object message) {
        fleetMember.advanceTo(host.now());
        fleetMember.onPeerMessage(message);
    }

    /** Records that a packet from another governor was rejected. */
    public void peerMessageRejected(String reason) {
        fleetMember.onPacketRejected(reason);
    }

    /**
     * Hands the proxies over to other governors, a few at a time, and runs the callback when that
     * is complete.
     */
    public void drain(Runnable afterDrain) {
        onDrained = afterDrain;
        if (fleetMember != null) {
            fleetMember.startDrain();
        }
    }

    /** Processes all events since the last call as one batch. */
    public void processBatch() {
        if (fleetMember != null) {
            fleetMember.advanceTo(host.now());
            DecisionLoop.runUntilIdle(host, () -> fleetMember.decide(membershipHandler));
        }
        logLapsedLeases();
        core.processBatch();
        if (onDrained != null && isDrained()) {
            Runnable callback = onDrained;
            onDrained = null;
            callback.run();
        }
    }

    private void logLapsedLeases() {
        int lapsedLeases = membershipHandler.takeLapsedLeaseCount();
        if (lapsedLeases > 0) {
            host.log(
                    "leases lapsed: updates to these proxies wait",
                    "proxies",
                    lapsedLeases,
                    "of",
                    connections.size(),
                    "majority",
                    fleetMember.hasMajority());
        }
    }

    private boolean isDrained() {
        return fleetMember == null
                || fleetMember.isDrained() && !fleetMember.decide(membershipHandler);
    }

    /** Returns membership metrics as log fields; empty without other governors. */
    public Object[] metrics() {
        return fleetMember == null
                ? new Object[0]
                : new Object[] {
                    "lives",
                    fleetMember.liveMembers().size(),
                    "majority",
                    fleetMember.hasMajority(),
                    "claimed",
                    fleetMember.claimedCount(),
                    "owned",
                    fleetMember.ownedCount()
                };
    }

    /** Returns the highest known epoch; 0 without other governors. */
    public long highestEpoch() {
        return fleetMember == null ? 0 : fleetMember.highestEpoch();
    }
}
