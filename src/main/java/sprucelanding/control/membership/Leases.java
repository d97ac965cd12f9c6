package sprucelanding.control.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The ownership of proxies among governors. A proxy connects to any governor, and that governor
 * claims the proxy under an epoch higher than any epoch it knows. The governor owns the proxy once
 * a majority of all governors, including itself, has granted the claim, for as long as the governor
 * renews its session at that majority. Grants depend on one session of the governor at each voter,
 * so the number of renewals does not grow with the number of proxies.
 *
 * <p>Safety depends on two conditions. The owner counts a session from a time before the request is
 * sent, and the voter counts the session from a time after the request is sent. The rates of two
 * clocks differ by no more than the maximum drift.
 *
 * <p>The protocol consists of {@link LeaseClaims} (the claims of this governor), {@link LeaseVoter}
 * (the grants to all governors), {@link VoterRenewals} (this governor's sessions at the voters) and
 * {@link MajorityMonitor} (whether this governor keeps serving without a majority).
 *
 * <p>Call {@link #advanceTo}, then report events, then call {@link #decide} until it returns false.
 * Call {@link #writeDeadline} right before each write. Times are ms on this governor's monotonic
 * clock. Not safe for use by several threads.
 */
public final class Leases {
    /**
     * The actions that the host performs. For each proxy, {@link #onAcquired} is called first.
     * {@link #onLapsed}, {@link #onRetained} and {@link #onAcquired} follow in any order. The host
     * ends the sequence with {@link Leases#onProxyDisconnected}, on its own or after {@link
     * #onSuperseded}.
     */
    public interface Actions {
        /** Sends a request to all other governors. */
        void sendRequest(LeaseRequest request);

        /** Sends a grant to its recipient. */
        void sendGrant(Grant grant);

        /** Sends a release to all other governors. */
        void sendRelease(Release release);

        /** Reports that this governor owns the proxy from now on, under this epoch. */
        void onAcquired(long proxy, long epoch);

        /**
         * Reports that nothing may be written to the proxy until it is acquired or retained again.
         */
        void onLapsed(long proxy);

        /**
         * Reports that no majority is heard, and that the proxy is served for as long as its stream
         * lasts.
         */
        void onRetained(long proxy);

        /**
         * Reports that the proxy has a newer stream at another governor. The host ends the stream
         * here and calls {@link #onProxyDisconnected}.
         */
        void onSuperseded(long proxy, int newOwner);
    }

    static final double RENEWALS_PER_LEASE = 3;

    /** Number of checks of claim states between two renewals. */
    private static final double CHECKS_PER_RENEWAL = 4;

    private final int selfId;
    private final long generation;
    private final int governorCount;
    private final double leaseMillis;
    private final PendingActions<Actions> pendingActions = new PendingActions<>();
    private final EpochCounter epochs;
    private final VoterRenewals renewals;
    private final LeaseClaims claims;
    private final LeaseVoter voter;
    private final MajorityMonitor majorityMonitor;
    private GovernorLoad ownLoad = new GovernorLoad(0, 1, -1);
    private double now;
    private double nextRenewalAt = Double.NEGATIVE_INFINITY;
    private double nextCheckAt = Double.NEGATIVE_INFINITY;
    private long lastSequence;

    /**
     * Creates the leases of one generation of a governor.
     *
     * @param selfId this governor's id
     * @param generation start time of this process in ms since 1970, or higher: it must be above
     *     the highest epoch of this governor's earlier generations, otherwise epochs decrease after
     *     the wall clock was set back
     * @param governorCount number of configured governors, at most 32; their ids are 0 to
     *     governorCount - 1
     * @param leaseMillis how long a grant is valid, in ms from the time at which it was requested
     * @param maxClockDrift the largest relative difference between the rates of two clocks, as a
     *     fraction
     * @param quarantineMillis time in ms after the start during which this governor grants nothing,
     *     because it has forgotten its earlier grants. Leases are safe only if it is at least a
     *     lease plus the clock drift during a lease.
     * @param now current time in ms on this governor's clock
     * @throws IllegalArgumentException if there are too many governors, or this governor's id is
     *     out of range
     */
    public Leases(
            int selfId,
            long generation,
            int governorCount,
            double leaseMillis,
            double maxClockDrift,
            double quarantineMillis,
            double now) {
        if (governorCount < 1
                || governorCount > FailureDetector.MAX_GOVERNORS
                || selfId < 0
                || selfId >= governorCount) {
            throw new IllegalArgumentException(
                    "governor id: got "
                            + selfId
                            + " of "
                            + governorCount
                            + " governors, expected an id below the count and a count from 1 to "
                            + FailureDetector.MAX_GOVERNORS);
        }
        this.selfId = selfId;
        this.generation = generation;
        this.governorCount = governorCount;
        this.leaseMillis = leaseMillis;
        this.now = now;
        this.epochs = new EpochCounter(generation);
        this.renewals = new VoterRenewals(governorCount, leaseMillis);
        this.claims =
                new LeaseClaims(
                        selfId, generation, governorCount, leaseMillis, renewals, pendingActions);
        LeaseTiming timing = new LeaseTiming(leaseMillis, maxClockDrift, quarantineMillis);
        this.voter = new LeaseVoter(selfId, generation, governorCount, timing, epochs, now);
        this.majorityMonitor = new MajorityMonitor(leaseMillis, now);
    }

    /**
     * Returns the key that identifies a proxy among governors: a hash of the proxy's name. Two
     * proxies with the same key would be treated as one.
     */
    public static long proxyKey(String proxy) {
        long hash = 1_125_899_906_842_597L;
        for (int i = 0; i < proxy.length(); i++) {
            hash = (hash ^ proxy.charAt(i)) * 0x9E3779B97F4A7C15L;
            hash ^= hash >>> 29;
        }
        hash *= 0xBF58476D1CE4E5B9L;
        return hash ^ hash >>> 32;
    }

    /** Sets the clock to a time in ms. A time before the current one changes nothing. */
    public void advanceTo(double time) {
        double gapMillis = time - now;
        now = Math.max(now, time);
        majorityMonitor.onClockAdvanced(gapMillis, now);
    }

    /** Updates the load of this governor that the next requests report. */
    public void updateOwnLoad(GovernorLoad currentLoad) {
        ownLoad = currentLoad;
    }

    /**
     * Handles the connection of a proxy to this governor. The proxy is claimed unless it is claimed
     * already.
     */
    public void onProxyConnected(long proxy) {
        OwnClaim ownClaim = claims.connect(proxy, now);
        if (!ownClaim.isClaimed()) {
            claims.start(ownClaim, epochs.next(voter.highestEpochOf(proxy)), now);
        }
    }

    /** Handles the end of the proxy's stream, after the last write on it. */
    public void onProxyDisconnected(long proxy) {
        Claim claim = claims.remove(proxy);
        if (claim != null) {
            Release release = new Release(selfId, generation, List.of(claim));
            onRelease(release);
            pendingActions.add(actions -> actions.sendRelease(release));
        }
    }

    /**
     * Handles a request of a governor, which renews the governor's session and claims proxies.
     * Stale requests are ignored.
     */
    public void onRequest(LeaseRequest request) {
        LeaseVoter.RequestStatus status = voter.acceptSender(request, now);
        if (status == LeaseVoter.RequestStatus.STALE) {
            return;
        }
        boolean isOwnRequest = request.sender() == selfId;
        if (status == LeaseVoter.RequestStatus.SENDER_RESTARTED && !isOwnRequest) {
            // The sender has forgotten its grants. During its quarantine it must learn the owners.
            renewals.resetGeneration(request.sender(), request.generation());
            claims.discardGrantsOf(request.sender(), now);
        }
        if (!isOwnRequest) {
            request.claims()
                    .forEach(claim -> claims.onCompetingClaim(request.sender(), claim, now));
        }
        Optional<Grant> grant = voter.answer(request, now);
        if (grant.isPresent()) {
            deliver(grant.get());
        }
    }

    private void deliver(Grant grant) {
        if (grant.recipient() == selfId) {
            onGrant(grant);
        } else {
            pendingActions.add(actions -> actions.sendGrant(grant));
        }
    }

    /**
     * Handles the answer of a voter. Answers to an earlier generation of this governor, and answers
     * of an earlier generation or session of the voter, are ignored.
     */
    public void onGrant(Grant grant) {
        if (grant.voter() < 0
                || grant.voter() >= governorCount
                || grant.recipient() != selfId
                || grant.recipientGeneration() != generation
                || grant.requestSentAt() > now
                || renewals.isStale(grant)) {
            return;
        }
        if (renewals.isOfNewSession(grant)) {
            renewals.resetSession(grant);
            claims.discardGrantsOf(grant.voter(), now);
        }
        renewals.renew(grant.voter(), grant.requestSentAt());
        grant.granted().forEach(claim -> claims.onGranted(claim, grant.voter()));
        grant.rejected().forEach(claim -> claims.onRejected(claim, grant, now));
        nextCheckAt = now;
    }

    /** Handles the release of proxies by a governor. */
    public void onRelease(Release release) {
        for (Claim claim : release.claims()) {
            if (voter.release(release, claim)) {
                claims.onReleased(claim.proxy(), now);
            }
        }
    }

    /**
     * Returns the time in ms on this governor's clock until which the proxy may be written to. The
     * time is negative infinity if the proxy may not be written to, and positive infinity if the
     * proxy is served without a majority.
     */
    public double writeDeadline(long proxy) {
        return claims.writeDeadline(proxy);
    }

    /** Returns whether a majority's valid grants make this governor the owner of the proxy. */
    public boolean isOwner(long proxy) {
        return claims.isOwner(proxy, now);
    }

    /**
     * Returns the epoch under which this governor owns or requests a proxy; 0 if it does neither.
     */
    public long epochOf(long proxy) {
        return claims.epochOf(proxy);
    }

    /** Returns whether a majority of governors has answered within a lease. */
    public boolean hasMajority() {
        return renewals.hasMajority(now);
    }

    /**
     * Returns the highest known epoch or generation. A later generation of this governor must begin
     * above it.
     */
    public long highestEpoch() {
        return epochs.highest();
    }

    /** Returns whether this governor serves its present proxies without a majority. */
    public boolean isServingWithoutMajority() {
        return majorityMonitor.isServingWithout();
    }

    /**
     * Returns the load that a governor reported; empty if no request of the governor arrived within
     * a lease.
     */
    public Optional<GovernorLoad> reportedLoad(int governor) {
        return voter.reportedLoad(governor, now);
    }

    /** Returns the number of proxies that this governor claims, owned or not. */
    public int claimedCount() {
        return claims.size();
    }

    /** Returns the number of proxies that this governor may write to now. */
    public int ownedCount() {
        return claims.writableCount(now);
    }

    /** Takes one decision. Returns false if no decision is due now. */
    public boolean decide(Actions actions) {
        if (pendingActions.runNext(actions)) {
            return true;
        }
        if (now >= nextRenewalAt || claims.isRequestDue(now)) {
            sendRequests(actions);
            return true;
        }
        if (now < nextCheckAt) {
            return false;
        }
        nextCheckAt = now + leaseMillis / (CHECKS_PER_RENEWAL * RENEWALS_PER_LEASE);
        majorityMonitor.update(hasMajority(), now);
        claims.updateStates(isServingWithoutMajority(), now);
        return !pendingActions.isEmpty();
    }

    /** Renews the session at all voters, and requests the claims that are due. */
    private void sendRequests(Actions actions) {
        if (now >= nextRenewalAt) {
            nextRenewalAt = now + leaseMillis / RENEWALS_PER_LEASE;
        }
        for (List<Claim> packetClaims : splitIntoPackets(claims.takeDue(now))) {
            lastSequence++;
            LeaseRequest request =
                    new LeaseRequest(selfId, generation, lastSequence, now, ownLoad, packetClaims);
            onRequest(request);
            actions.sendRequest(request);
        }
    }

    /**
     * Splits claims into packets. There is at least one packet, because each packet renews the
     * session.
     */
    private static List<List<Claim>> splitIntoPackets(List<Claim> due) {
        List<List<Claim>> packets = new ArrayList<>();
        int start = 0;
        do {
            int end = Math.min(due.size(), start + LeaseClaims.MAX_CLAIMS_PER_PACKET);
            packets.add(List.copyOf(due.subList(start, end)));
            start = end;
        } while (start < due.size());
        return packets;
    }
}
