package sprucelanding.control.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The owner's side of leases: the proxies that this governor claims, what voters have granted of
 * each, and when each is asked for again. {@link ClaimState} has the states of a claim.
 */
final class LeaseClaims {
    static final int MAX_CLAIMS_PER_PACKET = 60;

    private static final int MAX_PACKETS_PER_REQUEST = 8;
    private static final int MAX_TRACKED_PROXIES = 65_536;

    /** How often within a lease a claim is asked for that no majority has granted. */
    private static final double RETRIES_PER_LEASE = 6;

    /** Fraction of a lease for which a new stream is not ended for another governor's claim. */
    private static final double NEW_STREAM_LEASE_FRACTION = 0.2;

    private final int selfId;
    private final long generation;
    private final double leaseMillis;
    private final int allVoters;
    private final VoterRenewals renewals;
    private final PendingActions<Leases.Actions> pendingActions;
    private final Map<Long, OwnClaim> claimsByProxy = new TreeMap<>();

    /**
     * Epochs of proxies given up, to be released again if another governor claims them with a later
     * one.
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

    /** The proxy's claim after it has connected; it has no epoch if it is new. */
    OwnClaim connect(long proxy, double now) {
        OwnClaim ownClaim = claimsByProxy.computeIfAbsent(proxy, OwnClaim::new);
        ownClaim.connect(now);
        return ownClaim;
    }

    /** Asks for the proxy under an epoch as soon as may be. */
    void start(OwnClaim ownClaim, long epoch, double now) {
        ownClaim.restart(epoch);
        ownClaim.requestAt(now);
        nextRequestAt = now;
    }

    /** Drops the claim of a proxy whose stream has ended; null if there is none. */
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

    /** Another governor has a stream of a proxy that may be on one here, or was. */
    void onCompetingClaim(int sender, Claim claim, double now) {
        OwnClaim ownClaim = claimsByProxy.get(claim.proxy());
        if (ownClaim == null) {
            repeatRelease(claim);
        } else if (!ownClaim.isYielding()
                && claim.epoch() > ownClaim.epoch()
                && ownClaim.isConnectedLongerThan(NEW_STREAM_LEASE_FRACTION * leaseMillis, now)) {
            giveWay(ownClaim, sender);
        }
    }

    /** A claim of a proxy that was given up here shows that the first release may be lost. */
    private void repeatRelease(Claim claim) {
        Long epoch = releasedEpochs.get(claim.proxy());
        if (epoch != null && epoch < claim.epoch()) {
            Release release =
                    new Release(selfId, generation, List.of(new Claim(claim.proxy(), epoch)));
            pendingActions.add(actions -> actions.sendRelease(release));
        }
    }

    private void giveWay(OwnClaim ownClaim, int newOwner) {
        ownClaim.markYielding();
        long proxy = ownClaim.proxy();
        pendingActions.add(actions -> actions.onSuperseded(proxy, newOwner));
    }

    /** What the voter granted before is void: all is to be asked of it again. */
    void discardGrantsOf(int voter, double now) {
        for (OwnClaim ownClaim : claimsByProxy.values()) {
            ownClaim.removeGrant(voter);
            ownClaim.requestBy(now);
        }
        nextRequestAt = now;
    }

    /** The voter has granted a claim, which counts unless it is of a former epoch. */
    void onGranted(Claim claim, int voter) {
        OwnClaim ownClaim = claimsByProxy.get(claim.proxy());
        if (ownClaim != null && ownClaim.epoch() == claim.epoch()) {
            ownClaim.addGrant(voter);
        }
    }

    /** The voter has rejected a claim, and tells the highest epoch that it knows of the proxy. */
    void onRejected(Claim claim, Grant grant, double now) {
        OwnClaim ownClaim = claimsByProxy.get(claim.proxy());
        if (ownClaim == null || claim.epoch() < ownClaim.epoch()) {
            return;
        }
        if (ownClaim.state() == ClaimState.OWNED && claim.epoch() == grant.voterGeneration()) {
            return; // the voter knows nothing of the proxy, so of no later owner
        }
        if (ownClaim.state() == ClaimState.REQUESTED) { // to be asked for above a later owner
            ownClaim.restart(claim.epoch() + 1);
            ownClaim.requestBy(now + leaseMillis / (2 * RETRIES_PER_LEASE));
            nextRequestAt = Math.min(nextRequestAt, ownClaim.nextRequestAt());
        } else { // another has owned it since: the stream here is an old one
            giveWay(ownClaim, grant.voter());
        }
    }

    /** Another governor has given the proxy up: it is asked for at once if it is not owned. */
    void onFreed(long proxy, double now) {
        OwnClaim ownClaim = claimsByProxy.get(proxy);
        if (ownClaim != null && ownClaim.state() != ClaimState.OWNED) {
            ownClaim.requestAt(now);
            nextRequestAt = now;
        }
    }

    boolean isRequestDue(double now) {
        return now >= nextRequestAt;
    }

    /** Claims that are to be asked for now, at most as many as go into one request's packets. */
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
                ownClaim.requestAt(now + retryMillis(ownClaim, now));
                due.add(ownClaim.toClaim());
            }
            nextRequestAt = Math.min(nextRequestAt, Math.max(ownClaim.nextRequestAt(), now + 1));
        }
        return due;
    }

    /** A vote that is missing is not urgent once a majority has granted the claim. */
    private double retryMillis(OwnClaim ownClaim, double now) {
        boolean granted = renewals.deadline(ownClaim.grantedVoters()) > now;
        return leaseMillis / RETRIES_PER_LEASE * (granted ? RETRIES_PER_LEASE : 1);
    }

    /** Moves each claim to the state that follows from its grants, and tells the host. */
    void updateStates(boolean servingWithoutMajority, double now) {
        for (OwnClaim ownClaim : claimsByProxy.values()) {
            boolean granted = renewals.deadline(ownClaim.grantedVoters()) > now;
            ClaimState next = ownClaim.state().next(granted, servingWithoutMajority);
            if (ownClaim.moveTo(next)) {
                announce(next, ownClaim.proxy(), ownClaim.epoch());
            }
        }
    }

    private void announce(ClaimState state, long proxy, long epoch) {
        switch (state) {
            case OWNED -> pendingActions.add(actions -> actions.onAcquired(proxy, epoch));
            case RETAINED -> pendingActions.add(actions -> actions.onRetained(proxy));
            default -> pendingActions.add(actions -> actions.onLapsed(proxy));
        }
    }

    /** ms until which a write to the proxy may leave; negative infinity: none may. */
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

    /** Whether the proxy is owned by a majority's grants that hold now. */
    boolean isOwner(long proxy, double now) {
        OwnClaim ownClaim = claimsByProxy.get(proxy);
        return ownClaim != null
                && ownClaim.state() == ClaimState.OWNED
                && renewals.deadline(ownClaim.grantedVoters()) > now;
    }

    /** The epoch of the proxy's claim; 0 if there is none. */
    long epochOf(long proxy) {
        OwnClaim ownClaim = claimsByProxy.get(proxy);
        return ownClaim == null ? 0 : ownClaim.epoch();
    }

    int size() {
        return claimsByProxy.size();
    }

    /** How many of the proxies may be written to now. */
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
