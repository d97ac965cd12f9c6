package sprucelanding.control.core;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;
import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.delivery.ResourceUpdate;
import sprucelanding.control.discovery.ListedEndpoint;
import sprucelanding.control.membership.EvidenceExchange;
import sprucelanding.control.membership.FleetMember;
import sprucelanding.control.membership.Leases;

/**
 * A Round among other governors: a proxy that dials is let in once it is owned, nothing is sent to
 * it while it is not, and each holder knows until when it may be written to. Without others it is
 * the Round alone. The host calls it as it calls a Round: what happened, then settle; heard and
 * refused tell what came from other governors.
 */
public final class SharedGovernorCore implements GovernorCore.Host {
    /** The way to other governors; what goes there may be lost. */
    public interface PeerChannel {
        /** To one, or to all: -1. */
        void send(int governorId, Object message);
    }

    private static final double MEMBERSHIP_CHECK_INTERVAL_MILLIS =
            50; // ms between looks at who lives and what has lapsed
    private static final int MAX_PENDING_UPDATES =
            64; // messages for a proxy that may not be written to for now

    private static final class ProxyConnection {
        final long proxyKey;
        final Object transport;
        final ProxyStream stream;
        final String name;
        final String zone;
        final double baselineDemand;
        final boolean withoutTables;
        final ArrayDeque<ResourceUpdate> pendingUpdates = new ArrayDeque<>();
        boolean admitted;
        boolean writable;
        boolean closed;

        ProxyConnection(
                long proxyKey,
                Object transport,
                ProxyStream stream,
                String name,
                String zone,
                double baselineDemand,
                boolean withoutTables) {
            this.proxyKey = proxyKey;
            this.transport = transport;
            this.stream = stream;
            this.name = name;
            this.zone = zone;
            this.baselineDemand = baselineDemand;
            this.withoutTables = withoutTables;
        }
    }

    private final GovernorCore.Host host;
    private final PeerChannel peers;
    private final FleetMember fleetMember;
    private final GovernorCore core;
    private final Function<String, Integer> zoneIndexByName;
    private final Map<Long, ProxyConnection> connectionsByKey = new HashMap<>();
    private final Map<Integer, ProxyConnection> connectionsByProxyId = new HashMap<>();
    private final MembershipHandler membershipHandler = new MembershipHandler();
    private Runnable onDrained;
    private int lapsedLeases;

    /**
     * @param sharing null: there are no other governors
     * @param zones a zone's position by its name; -1 if there is none
     * @param core makes the Round on the host that it is given
     */
    public SharedGovernorCore(
            GovernorCore.Host host,
            PeerChannel peers,
            FleetMember fleetMember,
            Function<String, Integer> zoneIndexByName,
            Function<GovernorCore.Host, GovernorCore> coreFactory) {
        this.host = host;
        this.peers = peers;
        this.fleetMember = fleetMember;
        this.zoneIndexByName = zoneIndexByName;
        this.core = coreFactory.apply(fleetMember == null ? host : this);
    }

    public GovernorCore core() {
        return core;
    }

    /** As Round has it; then looks at the other governors all along. */
    public void start(String savedList, boolean pushed, double periodMillis) {
        core.start(savedList, pushed, periodMillis);
        if (fleetMember != null) {
            renewStreamLeases();
        }
    }

    private void renewStreamLeases() {
        fleetMember.advanceTo(host.now());
        for (ProxyConnection connection : connectionsByKey.values()) {
            if (connection.writable) {
                connection.stream.leaseGranted(
                        fleetMember.writeDeadline(connection.proxyKey),
                        connection.stream.lease().epoch());
            }
        }
        host.schedule(host.now() + MEMBERSHIP_CHECK_INTERVAL_MILLIS, this::renewStreamLeases);
    }

    // What happens.

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
        ProxyConnection connection =
                new ProxyConnection(
                        Leases.proxyKey(name),
                        transport,
                        stream,
                        name,
                        zone,
                        baselineDemand,
                        withoutTables);
        stream.leaseWithdrawn();
        ProxyConnection previous = connectionsByKey.put(connection.proxyKey, connection);
        connectionsByProxyId.put(stream.proxyId, connection);
        if (previous != null) {
            stopWriting(previous);
        }
        fleetMember.advanceTo(host.now());
        fleetMember.onProxyConnected(connection.proxyKey, zoneIndexByName.apply(zone));
    }

    /** Nothing more is written on it from now on. */
    private void stopWriting(ProxyConnection connection) {
        connection.writable = false;
        connection.pendingUpdates.clear();
        connection.stream.leaseWithdrawn();
        if (connection.admitted) {
            connection.admitted = false;
            core.proxyDisconnected(connection.stream);
        }
    }

    /** The stream has ended. */
    public void proxyDisconnected(ProxyStream stream) {
        if (fleetMember == null) {
            core.proxyDisconnected(stream);
            return;
        }
        ProxyConnection connection = connectionsByProxyId.get(stream.proxyId);
        if (connection != null && connection.stream == stream) {
            stopWriting(connection);
            connectionsByKey.remove(connection.proxyKey);
            connectionsByProxyId.remove(stream.proxyId);
            fleetMember.advanceTo(host.now());
            fleetMember.onProxyDisconnected(connection.proxyKey);
        }
    }

    /** Another governor said something, as Packets took it. */
    public void peerMessageReceived(Object message) {
        fleetMember.advanceTo(host.now());
        fleetMember.onPeerMessage(message);
    }

    public void peerMessageRejected(String reason) {
        fleetMember.onPacketRejected(reason);
    }

    /** Planned: proxies are sent on, a few at a time; then it runs what is given. */
    public void drain(Runnable afterDrain) {
        onDrained = afterDrain;
        if (fleetMember != null) {
            fleetMember.startDrain();
        }
    }

    public void processBatch() {
        if (fleetMember != null) {
            fleetMember.advanceTo(host.now());
            GovernorCore.runUntilIdle(host, () -> fleetMember.decide(membershipHandler));
        }
        if (lapsedLeases > 0) {
            host.log(
                    "proxies are not owned for now",
                    "proxies",
                    lapsedLeases,
                    "of",
                    connectionsByKey.size(),
                    "majority",
                    fleetMember.hasMajority());
            lapsedLeases = 0;
        }
        core.processBatch();
        if (onDrained != null
                && (fleetMember == null
                        || fleetMember.isDrained() && !fleetMember.decide(membershipHandler))) {
            Runnable callback = onDrained;
            onDrained = null;
            callback.run();
        }
    }

    /** Its figures, behind those of the Round; empty without other governors. */
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

    /** The highest epoch heard of; 0 without other governors. */
    public long highestEpoch() {
        return fleetMember == null ? 0 : fleetMember.highestEpoch();
    }

    /** What the sharing decides. */
    private final class MembershipHandler implements FleetMember.Actions {
        @Override
        public void sendToPeers(int governorId, Object message) {
            peers.send(governorId, message);
        }

        @Override
        public void allowWrites(long proxyKey, long epoch) {
            ProxyConnection connection = connectionsByKey.get(proxyKey);
            if (connection == null || connection.closed) {
                return;
            }
            connection.writable = true;
            connection.stream.leaseGranted(fleetMember.writeDeadline(proxyKey), epoch);
            if (!connection.admitted) {
                connection.admitted = true;
                core.proxyConnected(
                        connection.transport,
                        connection.stream,
                        connection.name,
                        connection.zone,
                        connection.baselineDemand,
                        connection.withoutTables);
            }
            while (!connection.pendingUpdates.isEmpty()) {
                host.send(connection.transport, connection.pendingUpdates.poll());
            }
        }

        @Override
        public void suspendWrites(long proxyKey) {
            ProxyConnection connection = connectionsByKey.get(proxyKey);
            if (connection != null) {
                connection.writable = false;
                connection.stream.leaseWithdrawn();
                lapsedLeases++;
            }
        }

        @Override
        public void endStream(long proxyKey, boolean busy, String reason) {
            ProxyConnection connection = connectionsByKey.get(proxyKey);
            if (connection != null && !connection.closed) {
                connection.closed = true;
                stopWriting(connection);
                host.log("a stream is ended", "proxy", connection.stream.proxyId, "why", reason);
                host.closeStream(connection.transport, connection.stream, busy, reason);
            }
        }

        @Override
        public void applyObservation(EvidenceExchange.EndpointObservation stats) {
            core.peerStatsReported(
                    stats.endpoint(),
                    stats.attempts(),
                    stats.failedAttempts(),
                    stats.responseMillis(),
                    stats.load() < 0 ? Double.NaN : stats.load());
        }

        @Override
        public void logEvent(String event, Object... fields) {
            host.log(event, fields);
        }
    }

    // What the Round asks of its host.

    @Override
    public double now() {
        return host.now();
    }

    @Override
    public void schedule(double time, Runnable step) {
        host.schedule(time, step);
    }

    @Override
    public void send(Object transport, ResourceUpdate update) {
        ProxyConnection connection = connectionsByProxyId.get(update.stream.proxyId);
        if (connection == null || connection.stream != update.stream || connection.closed) {
            return; // of a former stream
        }
        if (connection.writable
                && update.stream.lease().isValidAt(host.now())
                && connection.pendingUpdates.isEmpty()) {
            host.send(transport, update);
        } else if (connection.pendingUpdates.size() < MAX_PENDING_UPDATES) {
            connection.pendingUpdates.add(update);
        } else {
            membershipHandler.endStream(
                    connection.proxyKey, true, "too many messages wait for its lease");
        }
    }

    @Override
    public void closeStream(Object transport, ProxyStream stream, boolean busy, String reason) {
        ProxyConnection connection = connectionsByProxyId.get(stream.proxyId);
        if (connection != null && connection.stream == stream) {
            connection.closed = true;
            connection.admitted = false; // the Round has dropped it already
            stopWriting(connection);
        }
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
    public void decisionFailed(RuntimeException e) {
        host.decisionFailed(e);
    }
}
