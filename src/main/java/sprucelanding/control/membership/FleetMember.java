package sprucelanding.control.membership;

import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * One governor's part in a shared fleet: which proxies it accepts, which it may write to, and what
 * it tells the others. It puts together {@link FailureDetector} (who lives), {@link Leases} (who
 * owns which proxy), {@link ProxyQuota} (how many each has) and {@link EvidenceExchange} (what
 * others know of the endpoints).
 *
 * <p>Call {@link #advanceTo}, then what happened, then {@link #decide} until it is false; ask for
 * {@link #writeDeadline} right before each write. Times are ms on this governor's monotonic clock.
 * Not safe for use by several threads.
 */
public final class FleetMember {
    /** Recipient of a message that goes to all other governors. */
    public static final int ALL_PEERS = -1;

    /** What the host is to do. */
    public interface Actions {
        /**
         * Sends a {@link PeerMessage}, which may be lost.
         *
         * @param recipient a governor, or {@link FleetMember#ALL_PEERS}
         */
        void sendToPeers(int recipient, Object message);

        /** Writes to the proxy may begin, or go on, under this epoch. */
        void allowWrites(long proxy, long epoch);

        /** Nothing may be written for now to a proxy that could be written to before. */
        void suspendWrites(long proxy);

        /**
         * The proxy's stream is to be ended, and {@link #onProxyDisconnected} to be called once
         * nothing more is written.
         *
         * @param busy whether the proxy should connect to another governor
         */
        void endStream(long proxy, boolean busy, String reason);

        /** To be taken into account as if own proxies had observed it. */
        void applyObservation(EvidenceExchange.EndpointObservation observation);

        /** Something that operators want to know. */
        void logEvent(String text, Object... figures);
    }

    /** How long a proxy waits for a majority's grants until it is sent to another governor. */
    private static final double MAX_GRANT_WAIT_MILLIS = 3000;

    private final FailureDetector failureDetector;
    private final Leases leases;
    private final ProxyQuota quota;
    private final Optional<EvidenceExchange> evidenceExchange;
    private final ProxyStreams streams = new ProxyStreams();
    private final PendingActions<Actions> pendingActions = new PendingActions<>();
    private final ComponentActions componentActions = new ComponentActions();
    private final PeerMessageHandler peerMessageHandler = new PeerMessageHandler();

    /** The host, as the latest call of decide gave it. */
    private Actions actions;

    private double now;
    private boolean servingWithoutMajority;
    private boolean draining;
    private boolean leaveAnnounced;
    private long rejectedPackets;

    /**
     * A member made of its parts, which are of one governor and one generation.
     *
     * @param evidenceExchange null if governors tell each other nothing of the endpoints
     */
    public FleetMember(
            FailureDetector failureDetector,
            Leases leases,
            ProxyQuota quota,
            EvidenceExchange evidenceExchange) {
        this.failureDetector = failureDetector;
        this.leases = leases;
        this.quota = quota;
        this.evidenceExchange = Optional.ofNullable(evidenceExchange);
    }

    /** Sets the clock, ms; a time before the present one changes nothing. */
    public void advanceTo(double time) {
        now = Math.max(now, time);
        failureDetector.advanceTo(time);
        leases.advanceTo(time);
        quota.advanceTo(time);
        evidenceExchange.ifPresent(exchange -> exchange.advanceTo(time));
    }

    /** A message of another governor arrived, as {@link PeerCodec} decoded it. */
    public void onPeerMessage(Object message) {
        if (message instanceof PeerMessage peerMessage) {
            peerMessage.deliverTo(peerMessageHandler);
        }
    }

    /** A packet was rejected: forged, cut off or of another version. */
    public void onPacketRejected(String reason) {
        rejectedPackets++;
        if (Long.bitCount(rejectedPackets) == 1) { // the 1st, 2nd, 4th ...
            pendingActions.add(
                    host ->
                            host.logEvent(
                                    "packets of governors are refused",
                                    "so far",
                                    rejectedPackets,
                                    "why",
                                    reason));
        }
    }

    /**
     * A proxy has connected.
     *
     * @param proxy its key
     * @param zone its zone by position; -1 if it has none
     */
    public void onProxyConnected(long proxy, int zone) {
        if (streams.isConnected(proxy) && leases.isOwner(proxy)) {
            // No other governor can have owned it meanwhile: it goes on at once.
            streams.openOwned(proxy);
            leases.onProxyConnected(proxy);
            quota.onProxyConnected(proxy, zone);
            pendingActions.add(host -> host.allowWrites(proxy, leases.epochOf(proxy)));
            return;
        }
        AdmissionDecision decision = checkAdmission(proxy);
        if (decision.rejectionReason().isPresent()) {
            String reason = decision.rejectionReason().get();
            pendingActions.add(host -> host.endStream(proxy, true, reason));
            return;
        }
        // Another governor may have owned it since: it is claimed under a new epoch.
        leases.onProxyDisconnected(proxy);
        streams.openUnowned(proxy, zone, now);
    }

    private AdmissionDecision checkAdmission(long proxy) {
        return leases.isServingWithoutMajority()
                ? AdmissionDecision.rejected("no majority of governors is heard: it takes no more")
                : quota.checkAdmission(proxy);
    }

    /** The proxy's stream has ended, and nothing more is written on it. */
    public void onProxyDisconnected(long proxy) {
        if (streams.remove(proxy)) {
            leases.onProxyDisconnected(proxy);
            quota.onProxyDisconnected(proxy);
        }
    }

    /** What own proxies observed at an endpoint; load is negative if it reported none. */
    public void recordOwnObservation(
            long endpoint, int attempts, int failedAttempts, double responseMillis, double load) {
        evidenceExchange.ifPresent(
                exchange ->
                        exchange.recordOwnObservation(
                                endpoint, attempts, failedAttempts, responseMillis, load));
    }

    /** This governor is to stop: it redirects all its proxies; see {@link #isDrained}. */
    public void startDrain() {
        draining = true;
        quota.startDrain();
    }

    /** Whether it is to stop and no proxy is left. */
    public boolean isDrained() {
        return draining && streams.isEmpty();
    }

    /** See {@link Leases#writeDeadline}. */
    public double writeDeadline(long proxy) {
        return leases.writeDeadline(proxy);
    }

    /** How many proxies it claims, owned or not. */
    public int claimedCount() {
        return leases.claimedCount();
    }

    /** How many proxies it may write to now. */
    public int ownedCount() {
        return leases.ownedCount();
    }

    /** The highest epoch heard of: its next generation must begin above it. */
    public long highestEpoch() {
        return leases.highestEpoch();
    }

    /** The governors that live, itself among them. */
    public Set<Integer> liveMembers() {
        return failureDetector.liveMembers();
    }

    /** Whether a majority of governors has answered within a lease. */
    public boolean hasMajority() {
        return leases.hasMajority();
    }

    /** Takes one decision; false if there is none to take now. */
    public boolean decide(Actions host) {
        actions = host;
        return pendingActions.runNext(host)
                || failureDetector.decide(componentActions)
                || evidenceExchange.isPresent() && evidenceExchange.get().decide(componentActions)
                || claimNextProxy()
                || decideOwnership()
                || logMajorityChange()
                || announceLeave()
                || rejectLongestWaiting();
    }

    /** Claims a proxy that was accepted, once what others know is taken into account. */
    private boolean claimNextProxy() {
        if (evidenceExchange.isPresent() && !evidenceExchange.get().isCaughtUp()) {
            return false;
        }
        Optional<ProxyStreams.UnclaimedProxy> unclaimed = streams.takeUnclaimed();
        if (unclaimed.isEmpty()) {
            return false;
        }
        leases.onProxyConnected(unclaimed.get().proxy());
        quota.onProxyConnected(unclaimed.get().proxy(), unclaimed.get().zone());
        return true;
    }

    private boolean decideOwnership() {
        quota.updateOtherLiveCount(failureDetector.otherLiveCount());
        leases.updateOwnLoad(quota.load());
        return leases.decide(componentActions) || quota.decide(componentActions);
    }

    private boolean logMajorityChange() {
        if (servingWithoutMajority == leases.isServingWithoutMajority()) {
            return false;
        }
        servingWithoutMajority = !servingWithoutMajority;
        actions.logEvent(
                servingWithoutMajority
                        ? "no majority of governors is heard: it goes on with what it has, and takes no more"
                        : "a majority of governors is heard",
                "lives",
                failureDetector.liveMembers().size(),
                "proxies",
                leases.claimedCount());
        return true;
    }

    private boolean announceLeave() {
        if (!isDrained() || leaveAnnounced) {
            return false;
        }
        leaveAnnounced = true;
        failureDetector.announceLeave();
        return true;
    }

    /** A proxy that waits too long for a majority's grants goes to another, which may have it. */
    private boolean rejectLongestWaiting() {
        OptionalLong waiting = streams.waitingLongerThan(MAX_GRANT_WAIT_MILLIS, now);
        if (waiting.isEmpty()) {
            return false;
        }
        endStream(waiting.getAsLong(), true, "no majority of governors has promised it here");
        return true;
    }

    private void endStream(long proxy, boolean busy, String reason) {
        if (streams.beginEnd(proxy)) {
            actions.endStream(proxy, busy, reason);
        }
    }

    /** Hands each kind of message to the part that it is for. */
    private final class PeerMessageHandler implements PeerMessage.Handler {
        @Override
        public void handleHeartbeat(Heartbeat heartbeat) {
            failureDetector.onHeartbeat(heartbeat);
        }

        @Override
        public void handleLeaseRequest(LeaseRequest request) {
            leases.onRequest(request);
        }

        @Override
        public void handleGrant(Grant grant) {
            leases.onGrant(grant);
        }

        @Override
        public void handleRelease(Release release) {
            leases.onRelease(release);
        }

        @Override
        public void handleEvidence(Evidence evidence) {
            evidenceExchange.ifPresent(exchange -> exchange.onEvidence(evidence));
        }
    }

    /** Carries out what the parts decide. */
    private final class ComponentActions
            implements FailureDetector.Actions,
                    Leases.Actions,
                    ProxyQuota.Actions,
                    EvidenceExchange.Actions {
        @Override
        public void sendHeartbeat(Heartbeat heartbeat) {
            actions.sendToPeers(ALL_PEERS, heartbeat);
        }

        @Override
        public void onStateChanged(int id, FailureDetector.State state) {
            actions.logEvent(
                    "a governor is held for " + state.name().toLowerCase(Locale.ROOT),
                    "governor",
                    id,
                    "lives",
                    failureDetector.liveMembers().size());
            if (state == FailureDetector.State.DEAD || state == FailureDetector.State.LEFT) {
                evidenceExchange.ifPresent(exchange -> exchange.onGovernorLost(id));
            }
        }

        @Override
        public void sendRequest(LeaseRequest request) {
            actions.sendToPeers(ALL_PEERS, request);
        }

        @Override
        public void sendGrant(Grant grant) {
            actions.sendToPeers(grant.recipient(), grant);
        }

        @Override
        public void sendRelease(Release release) {
            actions.sendToPeers(ALL_PEERS, release);
        }

        @Override
        public void onAcquired(long proxy, long epoch) {
            if (streams.onGranted(proxy)) {
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
        public void onSuperseded(long proxy, int newOwner) {
            endStream(proxy, false, "it is on a newer stream at governor " + newOwner);
        }

        @Override
        public void redirectProxy(long proxy, String reason) {
            endStream(proxy, true, reason);
        }

        @Override
        public void sendEvidence(Evidence evidence) {
            actions.sendToPeers(ALL_PEERS, evidence);
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
