package sprucelanding.control.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The owner's side of leases: the proxies that this governor claims, the grants of voters for each
 * claim, and the time of each claim's next request. {@link ClaimState} documents the states of a
 * claim.
 */
final class LeaseClaims {
    static final int MAX_CLAIMS_PER_PACKET = 60;

    private static final int MAX_PACKETS_PER_REQUEST = 8;
    private static final int MAX_TRACKED_PROXIES = 65_536;

    /** Number of requests per lease for a claim that no majority has granted. */
    private static final double RETRIES_PER_LEASE = 6;

    /**
     * Fraction of a lease during which a new stream is not ended because of another governor's
     * claim.
     */
    private static final double NEW_STREAM_LEASE_FRACTION = 0.2;

    private final int selfId;
    private final long generation;
    private final double leaseMillis;
    private final int allVoters;
    private final VoterRenewals renewals;
    private final PendingActions<Leases.Actions> pendingActions;
    private final Map<Long, OwnClaim> claimsByProxy = new TreeMap<>();

    /**
     * Epochs of released proxies, by proxy. A proxy is released again if another governor claims it
     * with a later epoch.
     */
    private final LinkedHashMap<Long, Long> releasedEpochs = new LinkedHashMap<>();

    private double nextRequestAt = Double.POSITIVE_INFINITY;

    LeaseClaims(
            int selfId,
            long generation,
            int governorCount,
            double leaseMillis,
            VoterRenewals renewals,
            PendingActions<Leases.Actions> pendingActions) {
        this.selfId = selfId;
        this.generation = generation;
        this.leaseMillis = leaseMillis;
        this.allVoters =
                governorCount == FailureDetector.MAX_GOVERNORS ? -1 : (1 << governorCount) - 1;
        this.renewals = renewals;
        this.pendingActions = pendingActions;
    }

    /** Returns the claim of a proxy that has connected. A new claim has no epoch. */
    OwnClaim connect(long proxy, double now) {
        OwnClaim ownClaim = claimsByProxy.computeIfAbsent(proxy, OwnClaim::new);
        ownClaim.connect(now);
        return ownClaim;
    }

    /** Requests the proxy under an epoch as soon as possible. */
    void start(OwnClaim ownClaim, long epoch, double now) {
        ownClaim.restart(epoch);
        ownClaim.requestAt(now);
        nextRequestAt = now;
    }

    /**
     * Removes and returns the claim of a proxy whose stream has ended. Returns null if there is no
     * claim.
     */
    Claim remove(long proxy) {
        OwnClaim ownClaim = claimsByProxy.remove(proxy);
        if (ownClaim == null) {
            return null;
        }
        releasedEpochs.remove(proxy);
        releasedEpochs.put(proxy, ownClaim.epoch());
        if (releasedEpochs.size() > MAX_TRACKED_PROXIES) {
            releasedEpochs.remove(releasedEpochs.keySet().iterator().next());
        }
        return ownClaim.toClaim();
    }

    /**
     * Handles the claim of another governor for a proxy that has, or had, a stream at this
     * governor.
     */
    void onCompetingClaim(int sender, Claim claim, double now) {
        OwnClaim ownClaim = claimsByProxy.get(claim.proxy());
        if (ownClaim == null) {
            repeatRelease(claim);
        } else if (!ownClaim.isYielding()
                && claim.epoch() > ownClaim.epoch()
                && ownClaim.isConnectedLongerThan(NEW_STREAM_LEASE_FRACTION * leaseMillis, now)) {
            supersede(ownClaim, sender);
        }
    }

    /**
     * Repeats the release of a proxy. Another governor's claim of a released proxy shows that the
     * first release may have been lost.
     */
    private void repeatRelease(Claim claim) {
        Long epoch = releasedEpochs.get(claim.proxy());
        if (epoch != null && epoch < claim.epoch()) {
            Release release =
                    new Release(selfId, generation, List.of(new Claim(claim.proxy(), epoch)));
            pendingActions.add(actions -> actions.sendRelease(release));
        }
    }

    private void supersede(OwnClaim ownClaim, int newOwner) {
        ownClaim.markYielding();
        long proxy = ownClaim.proxy();
        pendingActions.add(actions -> actions.onSuperseded(proxy, newOwner));
    }

    /**
     * Discards the grants of a voter, which are void, and requests all claims from the voter again.
     */
    void discardGrantsOf(int voter, double now) {
        for (OwnClaim ownClaim : claimsByProxy.values()) {
            ownClaim.removeGrant(voter);
            ownClaim.requestBy(now);
        }
        nextRequestAt = now;
    }

    /** Handles the grant of a claim. A grant of an earlier epoch is ignored. */
    void onGranted(Claim claim, int voter) {
        OwnClaim ownClaim = claimsByProxy.get(claim.proxy());
        if (ownClaim != null && ownClaim.epoch() == claim.epoch()) {
            ownClaim.addGrant(voter);
        }
    }

    /**
     * Handles the rejection of a claim. The rejected claim carries the highest epoch of the proxy
     * that the voter knows.
     */
    void onRejected(Claim claim, Grant grant, double now) {
        OwnClaim ownClaim = claimsByProxy.get(claim.proxy());
        if (ownClaim == null || claim.epoch() < ownClaim.epoch()) {
            return;
        }
        if (ownClaim.state() == ClaimState.OWNED && claim.epoch() == grant.voterGeneration()) {
            return; // the voter does not know the proxy, so it knows no later owner either
        }
        if (ownClaim.state() == ClaimState.REQUESTED) {
            // Request the proxy again, above the epoch of a later owner.
            ownClaim.restart(claim.epoch() + 1);
            ownClaim.requestBy(now + leaseMillis / (2 * RETRIES_PER_LEASE));
            nextRequestAt = Math.min(nextRequestAt, ownClaim.nextRequestAt());
        } else {
            // Another governor has owned the proxy since, so the stream here is outdated.
            supersede(ownClaim, grant.voter());
        }
    }

    /**
     * Handles the release of a proxy by its grantee. The proxy is requested at once if it has a
     * claim here that is not owned.
     */
    void onReleased(long proxy, double now) {
        OwnClaim ownClaim = claimsByProxy.get(proxy);
        if (ownClaim != null && ownClaim.state() != ClaimState.OWNED) {
            ownClaim.requestAt(now);
            nextRequestAt = now;
        }
    }

    boolean isRequestDue(double now) {
        return now >= nextRequestAt;
    }

    /**
     * Returns the claims that are due for a request now, limited to what fits into the packets of
     * one request. Schedules the next request of each returned claim.
     */
    List<Claim> takeDue(double now) {
        nextRequestAt = Double.POSITIVE_INFINITY;
        List<Claim> due = new ArrayList<>();
        for (OwnClaim ownClaim : claimsByProxy.values()) {
            if (ownClaim.isGrantedBy(allVoters)) {
                continue;
            }
            if (ownClaim.isRequestDue(now)) {
                if (due.size() == MAX_CLAIMS_PER_PACKET * MAX_PACKETS_PER_REQUEST) {
                    nextRequestAt =
                            now + leaseMillis / (Leases.RENEWALS_PER_LEASE * RETRIES_PER_LEASE);
                    break;
                }
                ownClaim.requestAt(now + retryDelayMillis(ownClaim, now));
                due.add(ownClaim.toClaim());
            }
            nextRequestAt = Math.min(nextRequestAt, Math.max(ownClaim.nextRequestAt(), now + 1));
        }
        return due;
    }

    /**
     * Returns the time in ms until a claim is requested again. A missing grant is not urgent once a
     * majority has granted the claim.
     */
    private double retryDelayMillis(OwnClaim ownClaim, double now) {
        boolean granted = renewals.deadline(ownClaim.grantedVoters()) > now;
        return leaseMillis / RETRIES_PER_LEASE * (granted ? RETRIES_PER_LEASE : 1);
    }

    /**
     * Moves each claim to the state that follows from its grants, and reports changes to the host.
     */
    void updateStates(boolean servingWithoutMajority, double now) {
        for (OwnClaim ownClaim : claimsByProxy.values()) {
            boolean granted = renewals.deadline(ownClaim.grantedVoters()) > now;
            ClaimState next = ownClaim.state().next(granted, servingWithoutMajority);
            if (ownClaim.moveTo(next)) {
                reportState(next, ownClaim.proxy(), ownClaim.epoch());
            }
        }
    }

    private void reportState(ClaimState state, long proxy, long epoch) {
        switch (state) {
            case OWNED -> pendingActions.add(actions -> actions.onAcquired(proxy, epoch));
            case RETAINED -> pendingActions.add(actions -> actions.onRetained(proxy));
            default -> pendingActions.add(actions -> actions.onLapsed(proxy));
        }
    }

    /**
     * Returns the time in ms until which the proxy may be written to; negative infinity if it may
     * not be written to.
     */
    double writeDeadline(long proxy) {
        OwnClaim ownClaim = claimsByProxy.get(proxy);
        return ownClaim == null ? Double.NEGATIVE_INFINITY : writeDeadline(ownClaim);
    }

    private double writeDeadline(OwnClaim ownClaim) {
        return switch (ownClaim.state()) {
            case OWNED -> renewals.deadline(ownClaim.grantedVoters());
            case RETAINED -> Double.POSITIVE_INFINITY;
            default -> Double.NEGATIVE_INFINITY;
        };
    }

    /** Returns whether a majority's valid grants make this governor the owner of the proxy. */
    boolean isOwner(long proxy, double now) {
        OwnClaim ownClaim = claimsByProxy.get(proxy);
        return ownClaim != null
                && ownClaim.state() == ClaimState.OWNED
                && renewals.deadline(ownClaim.grantedVoters()) > now;
    }

    /** Returns the epoch of the proxy's claim; 0 if there is none. */
    long epochOf(long proxy) {
        OwnClaim ownClaim = claimsByProxy.get(proxy);
        return ownClaim == null ? 0 : ownClaim.epoch();
    }

    int size() {
        return claimsByProxy.size();
    }

    /** Returns the number of proxies that may be written to now. */
    int writableCount(double now) {
        int count = 0;
        for (OwnClaim ownClaim : claimsByProxy.values()) {
            if (writeDeadline(ownClaim) > now) {
                count++;
            }
        }
        return count;
    }
}
