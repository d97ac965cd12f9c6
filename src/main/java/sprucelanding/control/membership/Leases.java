package sprucelanding.control.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Who owns which proxy. A proxy dials whom it likes, and that governor claims it under an epoch
 * higher than any it has heard of; it owns the proxy once a majority of all governors has promised
 * it, for as long as that majority hears from it. Promises hang on one session of the governor at
 * each voter, so what is renewed does not grow with the proxies. Safety rests on two things: a
 * session is counted by its owner from before it asked, by a voter from after it was asked; and
 * clocks run at the same pace but for drift. Call clock, then what was heard, dialled and left,
 * then decide until it says false; ask until right before each write.
 */
public final class Leases {
    /**
     * What the host is told to do. Owned, then lapsed or kept in any order, ends with left or
     * yields.
     */
    public interface Actions {
        void sendRequest(LeaseRequest request);

        void sendGrant(Grant grant);

        void sendRelease(Release release);

        /** From now on this governor owns the proxy, under this epoch. */
        void onAcquired(long proxy, long epoch);

        /** Nothing may be written to it until it is owned or kept again. */
        void onLapsed(long proxy);

        /** No majority is heard: it is served on as long as its stream holds. */
        void onRetained(long proxy);

        /** Another governor has it on a newer stream: this one is to be ended, and left told. */
        void onSuperseded(long proxy, int newHolder);
    }

    private static final class Session {
        long generation;
        long lastSequence;
        long sessionNumber;
        double expiresAt = Double.NEGATIVE_INFINITY;
        GovernorLoad reportedLoad = new GovernorLoad(0, 0, -1);
        double lastHeardAt = Double.NEGATIVE_INFINITY;
    }

    private static final class Promise {
        int holder;
        long generation;
        long sessionNumber;
        long epoch;
    }

    /** A voter as its promises are counted here. */
    private static final class Voter {
        long generation;
        long sessionNumber;
        double lastRequestSentAt = Double.NEGATIVE_INFINITY;
    }

    private static final class OwnClaim {
        long epoch;

        /** Voters that promised it, a bit each. */
        int grantedVoters;

        double connectedAt;
        double nextRequestAt;
        ClaimState state = ClaimState.REQUESTED;
        boolean yielding;
    }

    /** How a claim stands, as the host was told. */
    private enum ClaimState {
        REQUESTED,
        OWNED,
        LAPSED,
        RETAINED
    }

    static final int MAX_CLAIMS_PER_PACKET = 60; // in one packet
    private static final int MAX_PACKETS_PER_REQUEST = 8; // of claims at a time
    private static final int MAX_TRACKED_PROXIES = 65_536;
    private static final double RENEWALS_PER_LEASE = 3; // times within a lease
    private static final double RETRIES_PER_LEASE =
            6; // of a lease, until what was not granted is asked for again
    private static final double MAJORITY_LOSS_LEASE_FRACTION =
            0.5; // of a lease without a majority, until one goes on without
    private static final double NEW_STREAM_LEASE_FRACTION =
            0.2; // of a lease, in which a stream is not given up for another's claim
    private static final double STALL_LEASE_FRACTION =
            0.4; // of a lease between two looks: it stood still itself

    private final int selfId;
    private final long generation;
    private final int governorCount;
    private final double leaseMillis;
    private final double maxClockDrift;
    private final double quarantineMillis;
    private final Session[] sessionsByGovernor;
    private final Voter[] votersById;
    private final Map<Long, Promise> promisesByProxy = new HashMap<>();
    private final Map<Long, OwnClaim> ownClaims = new TreeMap<>();

    /** What was given up, told again to whom it is refused. */
    private final LinkedHashMap<Long, Long> releasedEpochs = new LinkedHashMap<>();

    private final Map<Integer, Double> deadlinesByVoters = new HashMap<>();
    private final ArrayDeque<Runnable> pendingActions = new ArrayDeque<>();
    private GovernorLoad ownLoad = new GovernorLoad(0, 1, -1);
    private Actions actions;
    private double now;
    private final double startedAt;
    private double nextRenewalAt = Double.NEGATIVE_INFINITY;
    private double nextCheckAt = Double.NEGATIVE_INFINITY;
    private double nextRequestAt = Double.POSITIVE_INFINITY;
    private double majorityLostSince;
    private boolean servingWithoutMajority;

    /** A majority, at any time. */
    private boolean majorityReached;

    private long lastSequence;

    /** The latest life heard of: epochs begin above it, so that they grow over restarts of all. */
    private long epochFloor;

    private long highestEpoch;

    /**
     * @param life of this process: ms since 1970 at which it began, and above what highest told in
     *     its earlier lives, or epochs go back when a wall clock was
     * @param governors how many there may be, 32 at most; their ids are 0 to governors - 1
     * @param lease ms
     * @param drift most that two clocks' paces differ, as a share
     * @param quarantine ms after its start for which it promises nothing, for what it promised
     *     before is forgotten: a lease and its drift, or leases are not safe
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
        this.maxClockDrift = maxClockDrift;
        this.quarantineMillis = quarantineMillis;
        this.now = now;
        this.startedAt = now;
        this.majorityLostSince = now;
        this.epochFloor = generation;
        this.highestEpoch = generation;
        this.sessionsByGovernor = new Session[governorCount];
        this.votersById = new Voter[governorCount];
        Arrays.setAll(sessionsByGovernor, i -> new Session());
        Arrays.setAll(votersById, i -> new Voter());
    }

    /**
     * A proxy's name as it goes among governors; two names alike here would be taken for one proxy.
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

    public void advanceTo(double time) {
        double gap = time - now;
        now = Math.max(now, time);
        if (gap
                > STALL_LEASE_FRACTION
                        * leaseMillis) { // what it has not heard while it stood still tells nothing
            majorityLostSince = now;
        }
    }

    /** What is said of its own load with each ask. */
    public void updateOwnLoad(GovernorLoad currentLoad) {
        ownLoad = currentLoad;
    }

    // What proxies do.

    /** The proxy dialled here; it is claimed unless it is owned already. */
    public void onProxyConnected(long proxy) {
        OwnClaim ownClaim = ownClaims.computeIfAbsent(proxy, key -> new OwnClaim());
        ownClaim.connectedAt = now;
        ownClaim.yielding = false;
        if (ownClaim.epoch == 0) {
            startClaim(proxy, ownClaim);
        }
    }

    private void startClaim(long proxy, OwnClaim ownClaim) {
        Promise knownPromise = promisesByProxy.get(proxy);
        ownClaim.epoch =
                Math.max(
                                Math.max(epochFloor, ownClaim.epoch),
                                knownPromise == null ? 0 : knownPromise.epoch)
                        + 1;
        highestEpoch = Math.max(highestEpoch, ownClaim.epoch);
        ownClaim.grantedVoters = 0;
        ownClaim.nextRequestAt = now;
        nextRequestAt = now;
    }

    /** Its stream has ended, and nothing more is written on it. */
    public void onProxyDisconnected(long proxy) {
        OwnClaim ownClaim = ownClaims.remove(proxy);
        if (ownClaim != null) {
            releasedEpochs.remove(proxy);
            releasedEpochs.put(proxy, ownClaim.epoch);
            if (releasedEpochs.size() > MAX_TRACKED_PROXIES) {
                releasedEpochs.remove(releasedEpochs.keySet().iterator().next());
            }
            broadcastRelease(List.of(new Claim(proxy, ownClaim.epoch)));
        }
    }

    private void broadcastRelease(List<Claim> claims) {
        Release release = new Release(selfId, generation, claims);
        onRelease(release);
        pendingActions.add(() -> actions.sendRelease(release));
    }

    // What governors say.

    /** Another's ask. Late ones and those of an earlier life are left alone. */
    public void onRequest(LeaseRequest request) {
        if (request.sender() < 0 || request.sender() >= governorCount) {
            return;
        }
        Session session = sessionsByGovernor[request.sender()];
        if (request.generation() < session.generation
                || request.generation() == session.generation
                        && request.sequence() <= session.lastSequence) {
            return;
        }
        if (request.generation() > session.generation) {
            session.sessionNumber++;
            if (session.generation != 0
                    && request.sender()
                            != selfId) { // it has forgotten; while it grants nothing yet it is told
                // what is whose
                discardGrants(request.sender(), request.generation(), -1);
            }
        }
        session.generation = request.generation();
        epochFloor = Math.max(epochFloor, request.generation());
        highestEpoch = Math.max(highestEpoch, epochFloor);
        session.lastSequence = request.sequence();
        session.reportedLoad = request.load();
        session.lastHeardAt = now;
        if (request.sender() != selfId) {
            request.claims().forEach(claim -> handleCompetingClaim(request.sender(), claim));
        }
        if (now - startedAt < quarantineMillis) { // what an earlier life promised may still hold
            request.claims()
                    .forEach(
                            claim ->
                                    recordObservedClaim(
                                            request.sender(), request.generation(), claim));
            return;
        }
        if (session.expiresAt < now) {
            session.sessionNumber++; // what was promised to it may have been promised to others
            // since
        }
        session.expiresAt = Math.max(session.expiresAt, now + leaseMillis * (1 + maxClockDrift));
        List<Claim> granted = new ArrayList<>();
        List<Claim> rejected = new ArrayList<>();
        for (Claim claim : request.claims()) {
            if (tryPromise(request.sender(), session, claim)) {
                granted.add(claim);
            } else {
                Promise promise = promisesByProxy.get(claim.proxy());
                rejected.add(
                        new Claim(
                                claim.proxy(),
                                Math.max(generation, promise == null ? 0 : promise.epoch)));
            }
        }
        Grant grant =
                new Grant(
                        selfId,
                        generation,
                        session.sessionNumber,
                        request.sender(),
                        request.generation(),
                        request.sentAt(),
                        granted,
                        rejected);
        if (request.sender() == selfId) {
            onGrant(grant); // its own vote
        } else {
            pendingActions.add(() -> actions.sendGrant(grant));
        }
    }

    /** Another has a stream of a proxy that may be on one here, or was. */
    private void handleCompetingClaim(int sender, Claim claim) {
        OwnClaim ownClaim = ownClaims.get(claim.proxy());
        if (ownClaim == null) {
            Long epoch = releasedEpochs.get(claim.proxy());
            if (epoch != null && epoch < claim.epoch()) {
                pendingActions.add(
                        () ->
                                actions.sendRelease(
                                        new Release(
                                                selfId,
                                                generation,
                                                List.of(
                                                        new Claim(
                                                                claim.proxy(),
                                                                epoch))))); // the first was lost
            }
        } else if (!ownClaim.yielding
                && claim.epoch() > ownClaim.epoch
                && now - ownClaim.connectedAt > NEW_STREAM_LEASE_FRACTION * leaseMillis) {
            ownClaim.yielding = true;
            pendingActions.add(() -> actions.onSuperseded(claim.proxy(), sender));
        }
    }

    private boolean isInForce(Promise promise) {
        if (promise == null || promise.holder < 0) {
            return false;
        }
        Session session = sessionsByGovernor[promise.holder];
        return session.generation == promise.generation
                && session.sessionNumber == promise.sessionNumber
                && session.expiresAt >= now;
    }

    /**
     * Before it promises anything it learns who owns what, so that owners need no new epochs for
     * its restart.
     */
    private void recordObservedClaim(int sender, long itsGeneration, Claim claim) {
        Promise promise = promisesByProxy.get(claim.proxy());
        if ((promise == null || claim.epoch() > promise.epoch)
                && (promise != null || promisesByProxy.size() < MAX_TRACKED_PROXIES)) {
            promise = promisesByProxy.computeIfAbsent(claim.proxy(), key -> new Promise());
            promise.holder = sender;
            promise.generation = itsGeneration;
            promise.sessionNumber = -1;
            promise.epoch = claim.epoch();
            highestEpoch = Math.max(highestEpoch, claim.epoch());
        }
    }

    private boolean tryPromise(int sender, Session session, Claim claim) {
        Promise promise = promisesByProxy.get(claim.proxy());
        boolean heldBySender =
                promise != null
                        && promise.holder == sender
                        && promise.generation == session.generation;
        // What an earlier life of its own knew of the proxy is forgotten; any epoch of then lies
        // below this life.
        boolean grantable =
                heldBySender
                        ? claim.epoch() >= promise.epoch
                        : !isInForce(promise)
                                && claim.epoch()
                                        > Math.max(generation, promise == null ? 0 : promise.epoch);
        if (!grantable || promise == null && promisesByProxy.size() >= MAX_TRACKED_PROXIES) {
            return false;
        }
        highestEpoch = Math.max(highestEpoch, claim.epoch());
        if (promise == null) {
            promise = new Promise();
            promisesByProxy.put(claim.proxy(), promise);
        }
        promise.holder = sender;
        promise.generation = session.generation;
        promise.sessionNumber = session.sessionNumber;
        promise.epoch = claim.epoch();
        return true;
    }

    private void discardGrants(int voter, long itsGeneration, long session) {
        Voter forgetfulVoter = votersById[voter];
        forgetfulVoter.generation = itsGeneration;
        forgetfulVoter.sessionNumber = session;
        forgetfulVoter.lastRequestSentAt = Double.NEGATIVE_INFINITY;
        deadlinesByVoters.clear();
        ownClaims
                .values()
                .forEach(
                        ownClaim -> {
                            ownClaim.grantedVoters &= ~(1 << voter);
                            ownClaim.nextRequestAt = Math.min(ownClaim.nextRequestAt, now);
                        });
        nextRequestAt = now;
    }

    /**
     * A voter's answer. Those to an earlier life, or that tell of an earlier one of the voter, are
     * left alone.
     */
    public void onGrant(Grant grant) {
        if (grant.voter() < 0
                || grant.voter() >= governorCount
                || grant.recipient() != selfId
                || grant.recipientGeneration() != generation
                || grant.requestSentAt() > now) {
            return;
        }
        Voter voter = votersById[grant.voter()];
        if (grant.voterGeneration() < voter.generation
                || grant.voterGeneration() == voter.generation
                        && grant.session() < voter.sessionNumber) {
            return;
        }
        if (grant.voterGeneration() != voter.generation
                || grant.session() != voter.sessionNumber) { // it has forgotten what it promised
            discardGrants(grant.voter(), grant.voterGeneration(), grant.session());
        }
        if (grant.requestSentAt() > voter.lastRequestSentAt) {
            voter.lastRequestSentAt = grant.requestSentAt();
            deadlinesByVoters.clear();
        }
        for (Claim claim : grant.granted()) {
            OwnClaim ownClaim = ownClaims.get(claim.proxy());
            if (ownClaim != null && ownClaim.epoch == claim.epoch()) {
                ownClaim.grantedVoters |= 1 << grant.voter();
            }
        }
        for (Claim claim : grant.rejected()) {
            OwnClaim ownClaim = ownClaims.get(claim.proxy());
            if (ownClaim == null || claim.epoch() < ownClaim.epoch) {
                continue;
            }
            if (ownClaim.state == ClaimState.OWNED && claim.epoch() == grant.voterGeneration()) {
                continue; // it knows nothing of the proxy, which is no later owner's word
            }
            if (ownClaim.state
                    != ClaimState
                            .REQUESTED) { // another has owned it since: the stream here is an old
                // one
                ownClaim.yielding = true;
                pendingActions.add(() -> actions.onSuperseded(claim.proxy(), grant.voter()));
            } else { // a later owner was heard of: asked for above its epoch
                ownClaim.epoch = claim.epoch() + 1;
                ownClaim.grantedVoters = 0;
                ownClaim.nextRequestAt =
                        Math.min(
                                ownClaim.nextRequestAt,
                                now + leaseMillis / (2 * RETRIES_PER_LEASE));
                nextRequestAt = Math.min(nextRequestAt, ownClaim.nextRequestAt);
            }
        }
        nextCheckAt = now;
    }

    /** Proxies given up by another. */
    public void onRelease(Release release) {
        for (Claim claim : release.claims()) {
            Promise promise = promisesByProxy.get(claim.proxy());
            if (promise != null
                    && promise.holder == release.sender()
                    && promise.generation == release.generation()
                    && promise.epoch <= claim.epoch()) {
                promise.holder = -1;
                OwnClaim ownClaim = ownClaims.get(claim.proxy());
                if (ownClaim != null
                        && ownClaim.state != ClaimState.OWNED) { // what it waited for is free
                    ownClaim.nextRequestAt = now;
                    nextRequestAt = now;
                }
            }
        }
    }

    // What is asked and decided.

    /**
     * ms on the own clock until which a write to the proxy may leave; negative infinity: none may.
     */
    public double writeDeadline(long proxy) {
        OwnClaim ownClaim = ownClaims.get(proxy);
        return ownClaim == null
                ? Double.NEGATIVE_INFINITY
                : ownClaim.state == ClaimState.RETAINED
                        ? Double.POSITIVE_INFINITY
                        : ownClaim.state == ClaimState.OWNED
                                ? writeDeadline(ownClaim.grantedVoters)
                                : Double.NEGATIVE_INFINITY;
    }

    private double writeDeadline(int grantedVoters) {
        if (2 * Integer.bitCount(grantedVoters) <= governorCount) {
            return Double.NEGATIVE_INFINITY;
        }
        return deadlinesByVoters.computeIfAbsent(
                grantedVoters,
                voterBits -> {
                    double[] sentTimes = new double[Integer.bitCount(voterBits)];
                    int count = 0;
                    for (int voter = 0; voter < governorCount; voter++) {
                        if ((voterBits >> voter & 1) == 1) {
                            sentTimes[count++] = votersById[voter].lastRequestSentAt;
                        }
                    }
                    Arrays.sort(sentTimes);
                    return sentTimes[count - (governorCount / 2 + 1)]
                            + leaseMillis; // as old as the oldest of the newest majority
                });
    }

    /** Whether it owns the proxy by a majority's promise that holds now. */
    public boolean isOwner(long proxy) {
        OwnClaim ownClaim = ownClaims.get(proxy);
        return ownClaim != null
                && ownClaim.state == ClaimState.OWNED
                && writeDeadline(ownClaim.grantedVoters) > now;
    }

    /** The epoch under which it owns, or asks for, a proxy; 0 for none. */
    public long epochOf(long proxy) {
        OwnClaim ownClaim = ownClaims.get(proxy);
        return ownClaim == null ? 0 : ownClaim.epoch;
    }

    /** Whether a majority has answered within a lease. */
    public boolean hasMajority() {
        int count = 0;
        for (Voter voter : votersById) {
            count += voter.lastRequestSentAt + leaseMillis > now ? 1 : 0;
        }
        return 2 * count > governorCount;
    }

    /**
     * The highest epoch or life that it has heard of; a later life of its own must begin above it.
     */
    public long highestEpoch() {
        return highestEpoch;
    }

    /** It goes on with what it has, below a majority. */
    public boolean isServingWithoutMajority() {
        return servingWithoutMajority;
    }

    /** What a governor said of its load; null if it was not heard within a lease. */
    public GovernorLoad reportedLoad(int governor) {
        Session session = governor < governorCount ? sessionsByGovernor[governor] : null;
        return session == null || session.lastHeardAt + leaseMillis < now
                ? null
                : session.reportedLoad;
    }

    /** Proxies it has claimed, and of them those it may write to. */
    public int claimedCount() {
        return ownClaims.size();
    }

    public int ownedCount() {
        int count = 0;
        for (long proxy : ownClaims.keySet()) {
            count += writeDeadline(proxy) > now ? 1 : 0;
        }
        return count;
    }

    /** One decision; false if there is none now. */
    public boolean decide(Actions output) {
        actions = output;
        Runnable first = pendingActions.poll();
        if (first != null) {
            first.run();
            return true;
        }
        if (now >= nextRenewalAt || now >= nextRequestAt) {
            sendRequests(output);
            return true;
        }
        if (now < nextCheckAt) {
            return false;
        }
        nextCheckAt = now + leaseMillis / (4 * RENEWALS_PER_LEASE);
        updateMajority();
        for (Map.Entry<Long, OwnClaim> entry : ownClaims.entrySet()) {
            updateClaimState(entry.getKey(), entry.getValue());
        }
        return !pendingActions.isEmpty();
    }

    /**
     * Whether it is to go on without a majority; that needs some time in which it ran and heard
     * none.
     */
    private void updateMajority() {
        if (hasMajority()) {
            majorityLostSince = now;
            servingWithoutMajority = false;
            majorityReached = true;
        } else if (majorityReached
                && now - majorityLostSince > MAJORITY_LOSS_LEASE_FRACTION * leaseMillis) {
            servingWithoutMajority = true;
        }
    }

    private void updateClaimState(long proxy, OwnClaim ownClaim) {
        ClaimState next =
                writeDeadline(ownClaim.grantedVoters) > now
                        ? ClaimState.OWNED
                        : ownClaim.state == ClaimState.REQUESTED
                                ? ClaimState.REQUESTED
                                : servingWithoutMajority ? ClaimState.RETAINED : ClaimState.LAPSED;
        if (next == ownClaim.state) {
            return;
        }
        ownClaim.state = next;
        long epoch = ownClaim.epoch;
        switch (next) {
            case OWNED -> pendingActions.add(() -> actions.onAcquired(proxy, epoch));
            case RETAINED -> pendingActions.add(() -> actions.onRetained(proxy));
            default -> pendingActions.add(() -> actions.onLapsed(proxy));
        }
    }

    /** Renews the session at all voters, with the claims that want a promise. */
    private void sendRequests(Actions output) {
        nextRenewalAt =
                now >= nextRenewalAt ? now + leaseMillis / RENEWALS_PER_LEASE : nextRenewalAt;
        nextRequestAt = Double.POSITIVE_INFINITY;
        List<Claim> claims = new ArrayList<>();
        int allVoters =
                governorCount == FailureDetector.MAX_GOVERNORS ? -1 : (1 << governorCount) - 1;
        for (Map.Entry<Long, OwnClaim> entry : ownClaims.entrySet()) {
            OwnClaim ownClaim = entry.getValue();
            if (ownClaim.nextRequestAt <= now
                    && ownClaim.grantedVoters != allVoters
                    && !ownClaim.yielding) {
                if (claims.size() == MAX_CLAIMS_PER_PACKET * MAX_PACKETS_PER_REQUEST) {
                    nextRequestAt = now + leaseMillis / (RENEWALS_PER_LEASE * RETRIES_PER_LEASE);
                    break;
                }
                ownClaim.nextRequestAt =
                        now
                                + leaseMillis
                                        / RETRIES_PER_LEASE
                                        * (writeDeadline(ownClaim.grantedVoters) > now
                                                ? RETRIES_PER_LEASE
                                                : 1); // a missing vote is not urgent then
                claims.add(new Claim(entry.getKey(), ownClaim.epoch));
            }
            if (ownClaim.grantedVoters != allVoters) {
                nextRequestAt = Math.min(nextRequestAt, Math.max(ownClaim.nextRequestAt, now + 1));
            }
        }
        for (int i = 0; i == 0 || i < claims.size(); i += MAX_CLAIMS_PER_PACKET) {
            LeaseRequest request =
                    new LeaseRequest(
                            selfId,
                            generation,
                            ++lastSequence,
                            now,
                            ownLoad,
                            List.copyOf(
                                    claims.subList(
                                            i,
                                            Math.min(claims.size(), i + MAX_CLAIMS_PER_PACKET))));
            onRequest(request);
            output.sendRequest(request);
        }
    }
}
