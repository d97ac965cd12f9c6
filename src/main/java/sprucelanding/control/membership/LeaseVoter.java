package sprucelanding.control.membership;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The voter's side of leases: keeps a session for each governor, and grants a proxy to one governor
 * at a time. A session is counted from after its renewal was received, and longer by the clock
 * drift, so that the owner stops before the voter is free. A voter that has started grants nothing
 * for a quarantine, in which what it granted in its former generation may still hold; it learns
 * meanwhile who owns what. {@link ProxyGrant} has the states of a grant.
 */
final class LeaseVoter {
    /** What a request tells of its sender. */
    enum RequestStatus {
        /** Late, of an earlier generation or of no governor: to be ignored. */
        STALE,
        /** Of a generation that is known, or of the first one heard. */
        CURRENT,
        /** Of a later generation than before: its sender has forgotten what it granted. */
        SENDER_RESTARTED
    }

    private static final int MAX_TRACKED_PROXIES = 65_536;

    private final int selfId;
    private final long generation;
    private final double sessionMillis;
    private final double leaseMillis;
    private final double quarantineEndsAfterMillis;
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
        this.quarantineEndsAfterMillis = timing.quarantineMillis();
        this.startedAt = now;
        this.epochs = epochs;
        this.sessionsByGovernor = new VoterSession[governorCount];
        Arrays.setAll(sessionsByGovernor, i -> new VoterSession());
    }

    /** Takes over what a request tells of its sender, unless it is stale. */
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

    /** The answer to an accepted request; empty during the quarantine. */
    Optional<Grant> answer(LeaseRequest request, double now) {
        if (now - startedAt < quarantineEndsAfterMillis) {
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

    /** Learns who owns what, so that owners need no new epochs because this voter restarted. */
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
            // Any epoch that this voter knew in an earlier generation lies below its present one.
            return claim.epoch() > Math.max(generation, 0);
        }
        if (known.isHeldBy(sender, session.generation())) {
            return claim.epoch() >= known.epoch();
        }
        return !known.isInForce(sessionsByGovernor, now)
                && claim.epoch() > Math.max(generation, known.epoch());
    }

    /** Whether the proxy is free now because of this part of a release. */
    boolean release(Release release, Claim claim) {
        ProxyGrant known = grantsByProxy.get(claim.proxy());
        return known != null && known.release(release, claim.epoch());
    }

    /** The highest epoch at which the proxy was granted or observed here; 0 if it never was. */
    long highestEpochOf(long proxy) {
        ProxyGrant known = grantsByProxy.get(proxy);
        return known == null ? 0 : known.epoch();
    }

    /** What a governor reported of its load; empty if it was not heard within a lease. */
    Optional<GovernorLoad> reportedLoad(int governor, double now) {
        if (governor >= sessionsByGovernor.length
                || !sessionsByGovernor[governor].wasHeardWithin(leaseMillis, now)) {
            return Optional.empty();
        }
        return Optional.of(sessionsByGovernor[governor].reportedLoad());
    }
}
