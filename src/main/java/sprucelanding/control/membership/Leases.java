package sprucelanding.control.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Who owns which proxy. A proxy connects to whichever governor it likes, and that governor claims
 * it under an epoch higher than any it has heard of. It owns the proxy once a majority of all
 * governors, itself among them, has granted the claim, for as long as it renews its session at that
 * majority. Grants depend on one session of the governor at each voter, so renewals do not grow
 * with the number of proxies.
 *
 * <p>Safety rests on two things: a session is counted by its owner from before it asked and by a
 * voter from after it was asked, and the paces of two clocks differ by no more than the drift.
 *
 * <p>The sides of the protocol: {@link LeaseClaims} (claims of this governor), {@link LeaseVoter}
 * (grants to all), {@link VoterRenewals} (this governor's sessions at the voters), {@link
 * MajorityMonitor} (whether it goes on without a majority).
 *
 * <p>Call {@link #advanceTo}, then what happened, then {@link #decide} until it is false; ask for
 * {@link #writeDeadline} right before each write. Times are ms on this governor's monotonic clock.
 * Not safe for use by several threads.
 */
public final class Leases {
    /**
     * What the host is to do. Of a proxy it hears acquired first, then lapsed, retained or acquired
     * in any order; the end is a disconnect, which it may be asked for by superseded.
     */
    public interface Actions {
        /** To all other governors. */
        void sendRequest(LeaseRequest request);

        /** To the grant's recipient. */
        void sendGrant(Grant grant);

        /** To all other governors. */
        void sendRelease(Release release);

        /** From now on this governor owns the proxy, under this epoch. */
        void onAcquired(long proxy, long epoch);

        /** Nothing may be written to the proxy until it is acquired or retained again. */
        void onLapsed(long proxy);

        /** No majority is heard: the proxy is served on for as long as its stream lasts. */
        void onRetained(long proxy);

        /**
         * Another governor has the proxy on a newer stream: the stream here is to be ended, and
         * {@link #onProxyDisconnected} to be called.
         */
        void onSuperseded(long proxy, int newOwner);
    }

    static final double RENEWALS_PER_LEASE = 3;

    /** How often claims are looked at between two renewals. */
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
     * Leases of one generation of a governor.
     *
     * @param selfId this governor
     * @param generation of this process: ms since 1970 at which it began, and above the highest
     *     epoch of its earlier generations, or epochs go back when the wall clock was set back
     * @param governorCount how many governors there may be, 32 at most; their ids are 0 to
     *     governorCount - 1
     * @param leaseMillis how long a grant lasts after it was asked for
     * @param maxClockDrift the most that the paces of two clocks differ, as a fraction
     * @param quarantineMillis how long after its start it grants nothing, for what it granted
     *     before is forgotten: a lease and its drift, or leases are not safe
     * @param now ms on its clock
     * @throws IllegalArgumentException if there are too many governors or it is none of them
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
            throw new IllegalArgumentException("governor " + selfId + " of " + governorCount);
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
     * The key by which governors name a proxy, a hash of its name; two proxies of one key would be
     * taken for one.
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

    /** Sets the clock, ms; a time before the present one changes nothing. */
    public void advanceTo(double time) {
        double gapMillis = time - now;
        now = Math.max(now, time);
        majorityMonitor.onClockAdvanced(gapMillis, now);
    }

    /** What the next requests tell of this governor's load. */
    public void updateOwnLoad(GovernorLoad currentLoad) {
        ownLoad = currentLoad;
    }

    /** The proxy has connected to this governor; it is claimed unless it is already. */
    public void onProxyConnected(long proxy) {
        OwnClaim ownClaim = claims.connect(proxy, now);
        if (!ownClaim.isClaimed()) {
            claims.start(ownClaim, epochs.next(voter.highestEpochOf(proxy)), now);
        }
    }

    /** The proxy's stream has ended, and nothing more is written on it. */
    public void onProxyDisconnected(long proxy) {
        Claim claim = claims.remove(proxy);
        if (claim != null) {
            Release release = new Release(selfId, generation, List.of(claim));
            onRelease(release);
            pendingActions.add(actions -> actions.sendRelease(release));
        }
    }

    /** A governor renews its session and asks for grants. Stale requests are ignored. */
    public void onRequest(LeaseRequest request) {
        LeaseVoter.RequestStatus status = voter.acceptSender(request, now);
        if (status == LeaseVoter.RequestStatus.STALE) {
            return;
        }
        boolean own = request.sender() == selfId;
        if (status == LeaseVoter.RequestStatus.SENDER_RESTARTED && !own) {
            // It has forgotten its grants; in its quarantine it is to learn who owns what.
            renewals.resetGeneration(request.sender(), request.generation());
            claims.discardGrantsOf(request.sender(), now);
        }
        if (!own) {
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
     * A voter has answered. Answers to an earlier generation of this governor, and of an earlier
     * generation or session of the voter, are ignored.
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

    /** A governor has given proxies up. */
    public void onRelease(Release release) {
        for (Claim claim : release.claims()) {
            if (voter.release(release, claim)) {
                claims.onFreed(claim.proxy(), now);
            }
        }
    }

    /**
     * ms on its own clock until which a write to the proxy may leave; negative infinity if none
     * may, positive infinity if it is served without a majority.
     */
    public double writeDeadline(long proxy) {
        return claims.writeDeadline(proxy);
    }

    /** Whether it owns the proxy by a majority's grants that hold now. */
    public boolean isOwner(long proxy) {
        return claims.isOwner(proxy, now);
    }

    /** The epoch under which it owns, or asks for, a proxy; 0 if it does neither. */
    public long epochOf(long proxy) {
        return claims.epochOf(proxy);
    }

    /** Whether a majority has answered within a lease. */
    public boolean hasMajority() {
        return renewals.hasMajority(now);
    }

    /**
     * The highest epoch or generation that it has heard of; a later generation of its own must
     * begin above it.
     */
    public long highestEpoch() {
        return epochs.highest();
    }

    /** Whether it goes on with the proxies it has, without a majority. */
    public boolean isServingWithoutMajority() {
        return majorityMonitor.isServingWithout();
    }

    /** What a governor reported of its load; empty if it was not heard within a lease. */
    public Optional<GovernorLoad> reportedLoad(int governor) {
        return voter.reportedLoad(governor, now);
    }

    /** How many proxies it claims, owned or not. */
    public int claimedCount() {
        return claims.size();
    }

    /** How many proxies it may write to now. */
    public int ownedCount() {
        return claims.writableCount(now);
    }

    /** Takes one decision; false if there is none to take now. */
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

    /** Renews the session at all voters, with the claims that lack grants. */
    private void sendRequests(Actions actions) {
        if (now >= nextRenewalAt) {
            nextRenewalAt = now + leaseMillis / RENEWALS_PER_LEASE;
        }
        for (List<Claim> packetClaims : packets(claims.takeDue(now))) {
            lastSequence++;
            LeaseRequest request =
                    new LeaseRequest(selfId, generation, lastSequence, now, ownLoad, packetClaims);
            onRequest(request);
            actions.sendRequest(request);
        }
    }

    /** The claims of each packet: one packet at least, for it renews the session. */
    private static List<List<Claim>> packets(List<Claim> due) {
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
