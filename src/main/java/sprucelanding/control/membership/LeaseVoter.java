package sprucelanding.control.membership;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The voter's side of leases. The voter keeps a session for each governor and grants each proxy to
 * one governor at a time.
 *
 * <p>The voter counts a session from the receipt of its renewal, and extends it by the clock drift,
 * so that the owner stops writing before the voter may grant the proxy to another governor. A voter
 * that has started grants nothing during a quarantine, because the grants of its previous
 * generation may still be valid. During the quarantine the voter learns which governor owns which
 * proxy. {@link ProxyGrant} documents the states of a grant.
 */
final class LeaseVoter {
    /** The relation of a request to what is known about its sender. */
    enum RequestStatus {
        /**
         * The request is late, of an earlier generation or from an unknown governor, and must be
         * ignored.
         */
        STALE,
        /** The request is of the known generation, or of the first generation that was received. */
        CURRENT,
        /**
         * The request is of a later generation. Its sender has restarted and has forgotten the
         * grants that it made.
         */
        SENDER_RESTARTED
    }

    private static final int MAX_TRACKED_PROXIES = 65_536;

    private final int selfId;
    private final long generation;
    private final double sessionMillis;
    private final double leaseMillis;
    private final double quarantineMillis;
    private final double startedAt;
    private final EpochCounter epochs;
    private final VoterSession[] sessionsByGovernor;
    private final Map<Long, ProxyGrant> grantsByProxy = new HashMap<>();

    LeaseVoter(
            int selfId,
            long generation,
            int governorCount,
            LeaseTiming timing,
            EpochCounter epochs,
            double now) {
        this.selfId = selfId;
        this.generation = generation;
        this.leaseMillis = timing.leaseMillis();
        this.sessionMillis = timing.leaseMillis() * (1 + timing.maxClockDrift());
        this.quarantineMillis = timing.quarantineMillis();
        this.startedAt = now;
        this.epochs = epochs;
        this.sessionsByGovernor = new VoterSession[governorCount];
        Arrays.setAll(sessionsByGovernor, i -> new VoterSession());
    }

    /** Updates the session of the sender of a request, unless the request is stale. */
    RequestStatus acceptSender(LeaseRequest request, double now) {
        if (request.sender() < 0 || request.sender() >= sessionsByGovernor.length) {
            return RequestStatus.STALE;
        }
        VoterSession session = sessionsByGovernor[request.sender()];
        if (session.isStale(request)) {
            return RequestStatus.STALE;
        }
        boolean restarted = session.isRestart(request);
        session.accept(request, now);
        epochs.onGeneration(request.generation());
        return restarted ? RequestStatus.SENDER_RESTARTED : RequestStatus.CURRENT;
    }

    /** Returns the answer to an accepted request; empty during the quarantine. */
    Optional<Grant> answer(LeaseRequest request, double now) {
        if (now - startedAt < quarantineMillis) {
            request.claims().forEach(claim -> observe(request, claim));
            return Optional.empty();
        }
        VoterSession session = sessionsByGovernor[request.sender()];
        session.renew(now, now + sessionMillis);
        List<Claim> granted = new ArrayList<>();
        List<Claim> rejected = new ArrayList<>();
        for (Claim claim : request.claims()) {
            if (tryGrant(request.sender(), session, claim, now)) {
                granted.add(claim);
            } else {
                rejected.add(
                        new Claim(
                                claim.proxy(),
                                Math.max(generation, highestEpochOf(claim.proxy()))));
            }
        }
        return Optional.of(
                new Grant(
                        selfId,
                        generation,
                        session.number(),
                        request.sender(),
                        request.generation(),
                        request.sentAt(),
                        granted,
                        rejected));
    }

    /**
     * Records a claim without granting the claim. Otherwise owners would need new epochs only
     * because this voter restarted.
     */
    private void observe(LeaseRequest request, Claim claim) {
        ProxyGrant known = grantsByProxy.get(claim.proxy());
        if (known == null && grantsByProxy.size() >= MAX_TRACKED_PROXIES) {
            return;
        }
        if (known == null || claim.epoch() > known.epoch()) {
            grantsByProxy
                    .computeIfAbsent(claim.proxy(), key -> new ProxyGrant())
                    .observe(request.sender(), request.generation(), claim.epoch());
            epochs.onEpoch(claim.epoch());
        }
    }

    private boolean tryGrant(int sender, VoterSession session, Claim claim, double now) {
        ProxyGrant known = grantsByProxy.get(claim.proxy());
        if (!isGrantable(known, sender, session, claim, now)
                || known == null && grantsByProxy.size() >= MAX_TRACKED_PROXIES) {
            return false;
        }
        epochs.onEpoch(claim.epoch());
        grantsByProxy
                .computeIfAbsent(claim.proxy(), key -> new ProxyGrant())
                .grant(sender, session, claim.epoch());
        return true;
    }

    private boolean isGrantable(
            ProxyGrant known, int sender, VoterSession session, Claim claim, double now) {
        if (known == null) {
            // Any epoch that this voter knew in an earlier generation is below its current
            // generation.
            return claim.epoch() > Math.max(generation, 0);
        }
        if (known.isHeldBy(sender, session.generation())) {
            return claim.epoch() >= known.epoch();
        }
        return !known.isInForce(sessionsByGovernor, now)
                && claim.epoch() > Math.max(generation, known.epoch());
    }

    /** Applies the release of one claim. Returns whether the release has made the proxy free. */
    boolean release(Release release, Claim claim) {
        ProxyGrant known = grantsByProxy.get(claim.proxy());
        return known != null && known.release(release, claim.epoch());
    }

    /**
     * Returns the highest epoch at which the proxy was granted or observed here; 0 if it never was.
     */
    long highestEpochOf(long proxy) {
        ProxyGrant known = grantsByProxy.get(proxy);
        return known == null ? 0 : known.epoch();
    }

    /**
     * Returns the load that a governor reported; empty if no request of the governor arrived within
     * a lease.
     */
    Optional<GovernorLoad> reportedLoad(int governor, double now) {
        if (governor >= sessionsByGovernor.length
                || !sessionsByGovernor[governor].hasRequestWithin(leaseMillis, now)) {
            return Optional.empty();
        }
        return Optional.of(sessionsByGovernor[governor].reportedLoad());
    }
}
