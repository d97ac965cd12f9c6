package sprucelanding.control.membership;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What governors tell each other of the endpoints: sums of what their own proxies observed, with
 * age and source, in messages of bounded size. It is evidence, never an order. A governor that
 * starts hears it before it accepts proxies; when another one dies or leaves, what it reported last
 * is applied once, unless it is too old; and between living governors it is applied all the time
 * where that is wanted. A source that sees many endpoints fail is rather cut off itself and is left
 * out.
 *
 * <p>Call {@link #advanceTo}, then what happened, then {@link #decide} until it is false. Not safe
 * for use by several threads.
 */
public final class EvidenceExchange {
    /**
     * What a governor's proxies observed at an endpoint.
     *
     * @param endpoint the endpoint's id
     * @param attempts how many attempts ended
     * @param failedAttempts how many of them failed
     * @param responseMillis mean response time of the others, ms
     * @param load fraction of its cores in use, as the endpoint reported; negative if it did not
     */
    public record EndpointObservation(
            long endpoint, int attempts, int failedAttempts, double responseMillis, double load) {
        private static final int MAX_COUNT = 60_000;
        private static final double MAX_RESPONSE_MILLIS = 1e6;
        private static final double MAX_LOAD = 4;
        private static final double UNKNOWN_LOAD = -1;

        /** The same with each value within what a message can hold and is plausible. */
        EndpointObservation bounded() {
            int boundedAttempts = Math.min(attempts, MAX_COUNT);
            return new EndpointObservation(
                    endpoint,
                    boundedAttempts,
                    Math.max(0, Math.min(failedAttempts, boundedAttempts)),
                    responseMillis >= 0 ? Math.min(responseMillis, MAX_RESPONSE_MILLIS) : 0,
                    load >= 0 ? Math.min(load, MAX_LOAD) : UNKNOWN_LOAD);
        }

        /** The sum with a later observation of the same endpoint. */
        EndpointObservation plus(EndpointObservation later) {
            int completed = attempts - failedAttempts;
            int laterCompleted = later.attempts - later.failedAttempts;
            double meanResponseMillis =
                    completed + laterCompleted == 0
                            ? 0
                            : (responseMillis * completed + later.responseMillis * laterCompleted)
                                    / (completed + laterCompleted);
            return new EndpointObservation(
                            endpoint,
                            attempts + later.attempts,
                            failedAttempts + later.failedAttempts,
                            meanResponseMillis,
                            later.load >= 0 ? later.load : load)
                    .bounded();
        }
    }

    /** What the host is to do. */
    public interface Actions {
        /** To all others; it may be lost. */
        void sendEvidence(Evidence evidence);

        /** To be taken into account as if own proxies had observed it. */
        void applyObservation(EndpointObservation observation);

        /** Something that operators want to know. */
        void logEvent(String text, Object... figures);
    }

    static final int MAX_OBSERVATIONS_PER_PACKET = 50;

    private static final int MAX_ENDPOINTS = 4096;

    /** Age past which what a lost governor reported last is not applied. */
    private static final double MAX_EVIDENCE_AGE_MILLIS = 5000;

    /** Fraction of the interval after which a span of a source is held for complete. */
    private static final double SPAN_COMPLETE_DIVISOR = 10;

    private final int selfId;
    private final long generation;
    private final double intervalMillis;
    private final double maxCatchUpMillis;
    private final boolean continuous;
    private final double startedAt;
    private final Map<Integer, EvidenceSource> sourcesByGovernor = new TreeMap<>();
    private final Map<Long, EndpointObservation> ownObservations = new LinkedHashMap<>();
    private final PendingActions<Actions> pendingActions = new PendingActions<>();
    private double now;
    private double lastSentAt;
    private long sequence;
    private boolean caughtUp;

    /**
     * The exchange of one generation of a governor.
     *
     * @param selfId this governor
     * @param generation of this governor; ms since 1970 at which it began, or above
     * @param intervalMillis ms between two messages of own observations
     * @param maxCatchUpMillis ms that it waits for what others know after its start, at the most
     * @param continuous whether what living governors tell is applied all the time
     * @param now ms on its clock
     */
    public EvidenceExchange(
            int selfId,
            long generation,
            double intervalMillis,
            double maxCatchUpMillis,
            boolean continuous,
            double now) {
        this.selfId = selfId;
        this.generation = generation;
        this.intervalMillis = intervalMillis;
        this.maxCatchUpMillis = maxCatchUpMillis;
        this.continuous = continuous;
        this.now = now;
        this.startedAt = now;
        this.lastSentAt = now;
        this.caughtUp = maxCatchUpMillis <= 0;
    }

    /** Sets the clock, ms; a time before the present one changes nothing. */
    public void advanceTo(double time) {
        now = Math.max(now, time);
    }

    /** What own proxies observed; not what others reported. */
    public void recordOwnObservation(
            long endpoint, int attempts, int failedAttempts, double responseMillis, double load) {
        boolean tracked =
                ownObservations.size() < MAX_ENDPOINTS || ownObservations.containsKey(endpoint);
        if (attempts > 0 && tracked) {
            EndpointObservation observation =
                    new EndpointObservation(
                            endpoint, attempts, failedAttempts, responseMillis, load);
            ownObservations.merge(endpoint, observation.bounded(), EndpointObservation::plus);
        }
    }

    /**
     * Another governor reported its observations.
     *
     * @return false if nothing of them was taken over, for they are late or of an earlier
     *     generation
     */
    public boolean onEvidence(Evidence evidence) {
        if (evidence.sender() == selfId) {
            return false;
        }
        EvidenceSource source =
                sourcesByGovernor.computeIfAbsent(
                        evidence.sender(), id -> new EvidenceSource(MAX_ENDPOINTS));
        if (source.isStale(evidence)) {
            return false;
        }
        if (source.isOfNewSpan(evidence)) {
            applyIfContinuous(source);
            source.beginSpan(evidence);
        }
        source.addPart(evidence, now);
        return true;
    }

    /** Applies a span of which all parts have come, or a newer one has. */
    private void applyIfContinuous(EvidenceSource source) {
        if (continuous && source.isPending()) {
            apply(source);
        }
    }

    private void apply(EvidenceSource source) {
        source.markApplied();
        if (!source.isDoubtful()) {
            for (EndpointObservation observation : source.observations()) {
                pendingActions.add(actions -> actions.applyObservation(observation));
            }
        }
    }

    /**
     * A governor died, left or cannot be heard: what it reported last is applied if it is recent.
     */
    public void onGovernorLost(int governor) {
        EvidenceSource source = sourcesByGovernor.get(governor);
        if (source == null || !source.isPending()) {
            return;
        }
        double ageMillis = now - source.lastHeardAt();
        boolean tooOld = ageMillis > MAX_EVIDENCE_AGE_MILLIS;
        String event = lastEvidenceEvent(tooOld, source.isDoubtful());
        int endpointCount = source.observations().size();
        pendingActions.add(
                actions ->
                        actions.logEvent(
                                event,
                                "of",
                                governor,
                                "ageMs",
                                Math.round(ageMillis),
                                "replicas",
                                endpointCount));
        if (tooOld) {
            source.markApplied();
        } else {
            apply(source);
        }
    }

    private static String lastEvidenceEvent(boolean tooOld, boolean doubtful) {
        if (tooOld) {
            return "a last word is too old";
        }
        return doubtful ? "a last word is doubted" : "a last word is taken in";
    }

    /** Whether proxies may be accepted: what others know was heard, or waited for long enough. */
    public boolean isCaughtUp() {
        return caughtUp;
    }

    /** Takes one decision; false if there is none to take now. */
    public boolean decide(Actions actions) {
        if (pendingActions.runNext(actions) || catchUp()) {
            return true;
        }
        for (EvidenceSource source : sourcesByGovernor.values()) {
            if (isSpanComplete(source)) {
                applyIfContinuous(source);
            }
        }
        if (!pendingActions.isEmpty()) {
            return true;
        }
        if (now - lastSentAt < intervalMillis) {
            return false;
        }
        sendOwnObservations(actions);
        return true;
    }

    private boolean isSpanComplete(EvidenceSource source) {
        return now - source.lastHeardAt() > intervalMillis / SPAN_COMPLETE_DIVISOR;
    }

    /** Applies what others know, once after the start; whether that was done now. */
    private boolean catchUp() {
        if (caughtUp) {
            return false;
        }
        boolean anyHeard =
                sourcesByGovernor.values().stream()
                        .anyMatch(
                                source ->
                                        source.lastHeardAt() > startedAt && isSpanComplete(source));
        if (!anyHeard && now - startedAt < maxCatchUpMillis) {
            return false;
        }
        caughtUp = true;
        sourcesByGovernor.values().forEach(this::apply);
        int sourceCount =
                (int)
                        sourcesByGovernor.values().stream()
                                .filter(source -> !source.isEmpty())
                                .count();
        pendingActions.add(
                actions ->
                        actions.logEvent(
                                "begins with what others know",
                                "told",
                                sourceCount,
                                "afterMs",
                                Math.round(now - startedAt)));
        return true;
    }

    /** Sends what own proxies observed since it was last sent: one message at least. */
    private void sendOwnObservations(Actions actions) {
        double spanMillis = now - lastSentAt;
        lastSentAt = now;
        sequence++;
        List<EndpointObservation> observations = List.copyOf(ownObservations.values());
        ownObservations.clear();
        int start = 0;
        do {
            int end = Math.min(observations.size(), start + MAX_OBSERVATIONS_PER_PACKET);
            actions.sendEvidence(
                    new Evidence(
                            selfId,
                            generation,
                            sequence,
                            spanMillis,
                            observations.subList(start, end)));
            start = end;
        } while (start < observations.size());
    }
}
