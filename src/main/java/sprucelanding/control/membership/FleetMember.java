package sprucelanding.control.membership;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * One governor's part in a shared fleet: whom it takes, whom it may write to, and what it tells the
 * others. It puts together Peers (who lives), Leases (who owns which proxy), Share (how many each
 * has) and Recall (what others know of the replicas). Call clock, then what happened, then decide
 * until it says false; ask until right before each write.
 */
public final class FleetMember {
    /** What the host is told to do. */
    public interface Actions {
        /** To another governor, or to all: -1. It may be lost. */
        void sendToPeers(int recipient, Object message);

        /** Its orders may begin, or go on, under this epoch. */
        void allowWrites(long proxy, long epoch);

        /** It was let in, and nothing may be written to it for now. */
        void suspendWrites(long proxy);

        /**
         * Its stream is to be ended, and left told once nothing more is written. Busy: it should
         * dial another.
         */
        void endStream(long proxy, boolean busy, String reason);

        void applyObservation(EvidenceExchange.EndpointObservation observation);

        void logEvent(String text, Object... figures);
    }

    private static final double MAX_GRANT_WAIT_MILLIS =
            3000; // ms that a proxy waits for a majority's promise, until it is turned away

    private final FailureDetector failureDetector;
    private final Leases leases;
    private final ProxyQuota quota;
    private final EvidenceExchange evidenceExchange;

    /** Proxies that dialled and were not turned away; false once their stream is told to end. */
    private final Map<Long, Boolean> streamOpenByProxy = new HashMap<>();

    /**
     * Those of them that no majority has promised yet, with when they dialled, the first one first.
     */
    private final LinkedHashMap<Long, Double> awaitingGrantSince = new LinkedHashMap<>();

    private final ArrayDeque<Runnable> pendingActions = new ArrayDeque<>();
    private final Map<Long, Integer> zonesOfWaitingProxies = new LinkedHashMap<>();
    private Actions actions;
    private double now;
    private boolean servingWithoutMajority;
    private boolean draining;
    private boolean leaveAnnounced;
    private long rejectedPackets;

    /**
     * @param recall null: governors tell each other nothing of the replicas
     */
    public FleetMember(
            FailureDetector failureDetector,
            Leases leases,
            ProxyQuota quota,
            EvidenceExchange evidenceExchange) {
        this.failureDetector = failureDetector;
        this.leases = leases;
        this.quota = quota;
        this.evidenceExchange = evidenceExchange;
    }

    public void advanceTo(double time) {
        now = Math.max(now, time);
        failureDetector.advanceTo(time);
        leases.advanceTo(time);
        quota.advanceTo(time);
        if (evidenceExchange != null) {
            evidenceExchange.advanceTo(time);
        }
    }

    /** A message of another governor arrived, as {@link PeerCodec} decoded it. */
    public void onPeerMessage(Object message) {
        if (message instanceof PeerMessage peerMessage) {
            peerMessage.accept(peerMessageHandler);
        }
    }

    /** A packet was refused: forged, cut off, of another version. */
    public void onPacketRejected(String reason) {
        rejectedPackets++;
        if (Long.bitCount(rejectedPackets) == 1) { // the 1st, 2nd, 4th ...
            pendingActions.add(
                    () ->
                            actions.logEvent(
                                    "packets of governors are refused",
                                    "so far",
                                    rejectedPackets,
                                    "why",
                                    reason));
        }
    }

    /** A proxy dialled, by its key. */
    public void onProxyConnected(long proxy, int zone) {
        boolean owner = streamOpenByProxy.containsKey(proxy) && leases.isOwner(proxy);
        String reason =
                owner
                        ? null
                        : leases.isServingWithoutMajority()
                                ? "no majority of governors is heard: it takes no more"
                                : quota.checkAdmission(proxy);
        if (reason != null) {
            pendingActions.add(() -> actions.endStream(proxy, true, reason));
            return;
        }
        streamOpenByProxy.put(proxy, true);
        awaitingGrantSince.remove(proxy);
        if (owner) { // on a new stream it may go on at once: no other can have owned it meanwhile
            leases.onProxyConnected(proxy);
            quota.onProxyConnected(proxy, zone);
            pendingActions.add(() -> actions.allowWrites(proxy, leases.epochOf(proxy)));
        } else {
            leases.onProxyDisconnected(
                    proxy); // another may have owned it since: it is claimed under a new epoch
            awaitingGrantSince.put(proxy, now);
            zonesOfWaitingProxies.put(proxy, zone);
        }
    }

    /** Its stream has ended, and nothing more is written on it. */
    public void onProxyDisconnected(long proxy) {
        zonesOfWaitingProxies.remove(proxy);
        awaitingGrantSince.remove(proxy);
        if (streamOpenByProxy.remove(proxy) != null) {
            leases.onProxyDisconnected(proxy);
            quota.onProxyDisconnected(proxy);
        }
    }

    /** What own proxies met at a replica. */
    public void recordOwnObservation(
            long endpoint, int attempts, int failedAttempts, double responseMillis, double load) {
        if (evidenceExchange != null) {
            evidenceExchange.recordOwnObservation(
                    endpoint, attempts, failedAttempts, responseMillis, load);
        }
    }

    /** Planned: all proxies are sent on; done tells when none is left. */
    public void startDrain() {
        draining = true;
        quota.startDrain();
    }

    public boolean isDrained() {
        return draining && streamOpenByProxy.isEmpty();
    }

    /**
     * ms on the own clock until which a write to the proxy may leave; negative infinity: none may.
     */
    public double writeDeadline(long proxy) {
        return leases.writeDeadline(proxy);
    }

    public int claimedCount() {
        return leases.claimedCount();
    }

    public int ownedCount() {
        return leases.ownedCount();
    }

    /** The highest epoch heard of: the next life must begin above it. */
    public long highestEpoch() {
        return leases.highestEpoch();
    }

    public Set<Integer> liveMembers() {
        return failureDetector.liveMembers();
    }

    public boolean hasMajority() {
        return leases.hasMajority();
    }

    /** One decision; false if there is none now. */
    public boolean decide(Actions output) {
        actions = output;
        Runnable firstAction = pendingActions.poll();
        if (firstAction != null) {
            firstAction.run();
            return true;
        }
        if (failureDetector.decide(componentActions)) {
            return true;
        }
        if (evidenceExchange != null && evidenceExchange.decide(componentActions)) {
            return true;
        }
        if (!zonesOfWaitingProxies.isEmpty()
                && (evidenceExchange == null || evidenceExchange.isCaughtUp())) {
            long proxy = zonesOfWaitingProxies.keySet().iterator().next();
            int zone = zonesOfWaitingProxies.remove(proxy);
            leases.onProxyConnected(proxy);
            quota.onProxyConnected(proxy, zone);
            return true;
        }
        quota.others(failureDetector.otherLiveCount());
        leases.updateOwnLoad(quota.load());
        if (leases.decide(componentActions) || quota.decide(componentActions)) {
            return true;
        }
        if (servingWithoutMajority != leases.isServingWithoutMajority()) {
            servingWithoutMajority = !servingWithoutMajority;
            output.logEvent(
                    servingWithoutMajority
                            ? "no majority of governors is heard: it goes on with what it has, and takes no more"
                            : "a majority of governors is heard",
                    "lives",
                    failureDetector.liveMembers().size(),
                    "proxies",
                    leases.claimedCount());
            return true;
        }
        if (draining && streamOpenByProxy.isEmpty() && !leaveAnnounced) {
            leaveAnnounced = true;
            failureDetector.announceLeave();
            return true;
        }
        return rejectLongestWaiting();
    }

    private void endStream(long proxy, boolean busy, String reason) {
        awaitingGrantSince.remove(proxy);
        if (streamOpenByProxy.replace(proxy, true, false)) {
            actions.endStream(proxy, busy, reason);
        }
    }

    /** Who waits too long for a majority's promise goes to another, who may have it. */
    private boolean rejectLongestWaiting() {
        if (awaitingGrantSince.isEmpty()) {
            return false;
        }
        Map.Entry<Long, Double> longestWaiting = awaitingGrantSince.entrySet().iterator().next();
        if (now - longestWaiting.getValue() <= MAX_GRANT_WAIT_MILLIS) {
            return false;
        }
        endStream(longestWaiting.getKey(), true, "no majority of governors has promised it here");
        return true;
    }

    private final PeerMessageHandler peerMessageHandler = new PeerMessageHandler();

    /** Hands each kind of message to the part that it is for. */
    private final class PeerMessageHandler implements PeerMessage.Visitor {
        @Override
        public void visitHeartbeat(Heartbeat heartbeat) {
            failureDetector.onHeartbeat(heartbeat);
        }

        @Override
        public void visitLeaseRequest(LeaseRequest request) {
            leases.onRequest(request);
        }

        @Override
        public void visitGrant(Grant grant) {
            leases.onGrant(grant);
        }

        @Override
        public void visitRelease(Release release) {
            leases.onRelease(release);
        }

        @Override
        public void visitEvidence(Evidence evidence) {
            if (evidenceExchange != null) {
                evidenceExchange.onEvidence(evidence);
            }
        }
    }

    private final ComponentActions componentActions = new ComponentActions();

    /** What its parts decide. */
    private final class ComponentActions
            implements FailureDetector.Actions,
                    Leases.Actions,
                    ProxyQuota.Actions,
                    EvidenceExchange.Actions {
        @Override
        public void sendHeartbeat(Heartbeat heartbeat) {
            actions.sendToPeers(-1, heartbeat);
        }

        @Override
        public void onStateChanged(int id, FailureDetector.State state) {
            actions.logEvent(
                    "a governor is held for " + state.name().toLowerCase(java.util.Locale.ROOT),
                    "governor",
                    id,
                    "lives",
                    failureDetector.liveMembers().size());
            if (evidenceExchange != null
                    && (state == FailureDetector.State.DEAD
                            || state == FailureDetector.State.LEFT)) {
                evidenceExchange.onGovernorLost(id);
            }
        }

        @Override
        public void sendRequest(LeaseRequest request) {
            actions.sendToPeers(-1, request);
        }

        @Override
        public void sendGrant(Grant grant) {
            actions.sendToPeers(grant.recipient(), grant);
        }

        @Override
        public void sendRelease(Release release) {
            actions.sendToPeers(-1, release);
        }

        @Override
        public void onAcquired(long proxy, long epoch) {
            if (streamOpenByProxy.containsKey(proxy)) {
                awaitingGrantSince.remove(proxy);
                actions.allowWrites(proxy, epoch);
            }
        }

        @Override
        public void onLapsed(long proxy) {
            actions.suspendWrites(proxy);
        }

        @Override
        public void onRetained(long proxy) {
            actions.allowWrites(proxy, leases.epochOf(proxy));
        }

        @Override
        public void onSuperseded(long proxy, int recipient) {
            endStream(proxy, false, "it is on a newer stream at governor " + recipient);
        }

        @Override
        public void redirectProxy(long proxy, String reason) {
            endStream(proxy, true, reason);
        }

        @Override
        public void sendEvidence(Evidence evidence) {
            actions.sendToPeers(-1, evidence);
        }

        @Override
        public void applyObservation(EvidenceExchange.EndpointObservation observation) {
            actions.applyObservation(observation);
        }

        @Override
        public void logEvent(String text, Object... figures) {
            actions.logEvent(text, figures);
        }
    }
}
