package sprucelanding.control.membership;

import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * One governor's membership in a shared fleet. It determines which proxies the governor accepts,
 * which proxies it may write to and which messages it sends to other governors. It combines {@link
 * FailureDetector} (which governors are live), {@link Leases} (which governor owns which proxy),
 * {@link ProxyQuota} (how many proxies each governor has) and {@link EvidenceExchange} (what other
 * governors know about the endpoints).
 *
 * <p>Call {@link #advanceTo}, then report events, then call {@link #decide} until it returns false.
 * Call {@link #writeDeadline} right before each write. Times are ms on this governor's monotonic
 * clock. Not safe for use by several threads.
 */
public final class FleetMember {
    /** The recipient id of a message to all other governors. */
    public static final int ALL_PEERS = -1;

    /** The actions that the host performs. */
    public interface Actions {
        /**
         * Sends a {@link PeerMessage}, which may be lost.
         *
         * @param recipient a governor's id, or {@link FleetMember#ALL_PEERS}
         */
        void sendToPeers(int recipient, Object message);

        /** Allows writes to the proxy, or continues to allow them, under this epoch. */
        void allowWrites(long proxy, long epoch);

        /** Suspends writes to a proxy that could be written to before. */
        void suspendWrites(long proxy);

        /**
         * Ends the proxy's stream. The host calls {@link #onProxyDisconnected} once nothing more is
         * written.
         *
         * @param busy whether the proxy should connect to another governor
         */
        void endStream(long proxy, boolean busy, String reason);

        /** Takes an observation into account as if own proxies had made it. */
        void applyObservation(EvidenceExchange.EndpointObservation observation);

        /** Logs an event for operators, with keys and values in turn. */
        void logEvent(String text, Object... fields);
    }

    /** Time that a proxy waits for a majority before it is sent to another governor. */
    private static final double MAX_GRANT_WAIT_MILLIS = 3000;

    private final FailureDetector failureDetector;
    private final Leases leases;
    private final ProxyQuota quota;
    private final Optional<EvidenceExchange> evidenceExchange;
    private final ProxyStreams streams = new ProxyStreams();
    private final PendingActions<Actions> pendingActions = new PendingActions<>();
    private final ComponentActions componentActions = new ComponentActions();
    private final PeerMessageHandler peerMessageHandler = new PeerMessageHandler();

    /** The host that was passed to the latest call of decide. */
    private Actions actions;

    private double now;
    private boolean servingWithoutMajority;
    private boolean draining;
    private boolean leaveAnnounced;
    private long rejectedPackets;

    /**
     * Creates a member from its parts, which must be of one governor and one generation.
     *
     * @param evidenceExchange null if governors do not exchange evidence about endpoints
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

    /** Sets the clock to a time in ms. A time before the current one changes nothing. */
    public void advanceTo(double time) {
        now = Math.max(now, time);
        failureDetector.advanceTo(time);
        leases.advanceTo(time);
        quota.advanceTo(time);
        evidenceExchange.ifPresent(exchange -> exchange.advanceTo(time));
    }

    /** Handles a message of another governor, as {@link PeerCodec} decoded it. */
    public void onPeerMessage(Object message) {
        if (message instanceof PeerMessage peerMessage) {
            peerMessage.deliverTo(peerMessageHandler);
        }
    }

    /** Counts a rejected packet: forged, truncated or of another version. */
    public void onPacketRejected(String reason) {
        rejectedPackets++;
        if (Long.bitCount(rejectedPackets) == 1) { // log the 1st, 2nd, 4th, 8th ...
            pendingActions.add(
                    host ->
                            host.logEvent(
                                    "packets from governors are rejected",
                                    "so far",
                                    rejectedPackets,
                                    "why",
                                    reason));
        }
    }

    /**
     * Handles the connection of a proxy.
     *
     * @param proxy the proxy's key
     * @param zone the index of the proxy's zone; -1 if it has none
     */
    public void onProxyConnected(long proxy, int zone) {
        if (streams.isConnected(proxy) && leases.isOwner(proxy)) {
            // No other governor can have owned the proxy meanwhile, so writes continue at once.
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
        // Another governor may have owned the proxy since, so it is claimed under a new epoch.
        leases.onProxyDisconnected(proxy);
        streams.openUnowned(proxy, zone, now);
    }

    private AdmissionDecision checkAdmission(long proxy) {
        return leases.isServingWithoutMajority()
                ? AdmissionDecision.rejected("no majority of governors is heard: it takes no more")
                : quota.checkAdmission(proxy);
    }

    /** Handles the end of the proxy's stream, after the last write on it. */
    public void onProxyDisconnected(long proxy) {
        if (streams.remove(proxy)) {
            leases.onProxyDisconnected(proxy);
            quota.onProxyDisconnected(proxy);
        }
    }

    /**
     * Records what own proxies observed at an endpoint. A negative load means that none is known.
     */
    public void recordOwnObservation(
            long endpoint, int attempts, int failedAttempts, double responseMillis, double load) {
        evidenceExchange.ifPresent(
                exchange ->
                        exchange.recordOwnObservation(
                                endpoint, attempts, failedAttempts, responseMillis, load));
    }

    /** Starts to redirect all proxies because this governor is to stop. See {@link #isDrained}. */
    public void startDrain() {
        draining = true;
        quota.startDrain();
    }

    /** Returns whether this governor is to stop and no proxy is left. */
    public boolean isDrained() {
        return draining && streams.isEmpty();
    }

    /** Returns the time until which a proxy may be written to; see {@link Leases#writeDeadline}. */
    public double writeDeadline(long proxy) {
        return leases.writeDeadline(proxy);
    }

    /** Returns the number of proxies that this governor claims, owned or not. */
    public int claimedCount() {
        return leases.claimedCount();
    }

    /** Returns the number of proxies that this governor may write to now. */
    public int ownedCount() {
        return leases.ownedCount();
    }

    /** Returns the highest known epoch. The governor's next generation must begin above it. */
    public long highestEpoch() {
        return leases.highestEpoch();
    }

    /** Returns the live governors, including this governor. */
    public Set<Integer> liveMembers() {
        return failureDetector.liveMembers();
    }

    /** Returns whether a majority of governors has answered within a lease. */
    public boolean hasMajority() {
        return leases.hasMajority();
    }

    /** Takes one decision. Returns false if no decision is due now. */
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

    /** Claims a proxy that was accepted, once the evidence of other governors is applied. */
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
                        ? "no majority of governors is heard: serving present proxies, accepting no more"
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

    /** Ends the stream that waited too long for a majority. Another governor may get a majority. */
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

    /** A dispatcher that passes each kind of message to the responsible part. */
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

    /** The host of the parts, which passes their actions to the host of this member. */
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
                    "a governor is considered " + state.name().toLowerCase(Locale.ROOT),
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
        public void logEvent(String text, Object... fields) {
            actions.logEvent(text, fields);
        }
    }
}
