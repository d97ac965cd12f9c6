package sprucelanding.control.membership;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The exchange of endpoint observations between governors. Each governor sends totals of what its
 * own proxies observed, with their age and source, in messages of bounded size. The observations
 * are evidence and never an order.
 *
 * <p>A governor that starts receives the evidence of the others before it accepts proxies. When
 * another governor dies or leaves, its last report is applied once, unless the report is too old.
 * Evidence of live governors is applied continuously if the exchange is configured so. A source
 * that sees many endpoints fail is probably cut off from them itself, so its evidence is left out.
 *
 * <p>Call {@link #advanceTo}, then report events, then call {@link #decide} until it returns false.
 * Not safe for use by several threads.
 */
public final class EvidenceExchange {
    /**
     * What a governor's proxies observed at an endpoint.
     *
     * @param endpoint the endpoint's id
     * @param attempts number of attempts that ended
     * @param failedAttempts number of these attempts that failed
     * @param responseMillis mean response time of the other attempts, in ms
     * @param load fraction of the endpoint's cores in use, as the endpoint reported it; negative if
     *     it reported none
     */
    public record EndpointObservation(
            long endpoint, int attempts, int failedAttempts, double responseMillis, double load) {
        private static final int MAX_COUNT = 60_000;
        private static final double MAX_RESPONSE_MILLIS = 1e6;
        private static final double MAX_LOAD = 4;
        private static final double UNKNOWN_LOAD = -1;

        /**
         * Returns this observation with each value limited to a plausible range that fits into a
         * message.
         */
        EndpointObservation bounded() {
            int boundedAttempts = Math.min(attempts, MAX_COUNT);
            return new EndpointObservation(
                    endpoint,
                    boundedAttempts,
                    Math.max(0, Math.min(failedAttempts, boundedAttempts)),
                    responseMillis >= 0 ? Math.min(responseMillis, MAX_RESPONSE_MILLIS) : 0,
                    load >= 0 ? Math.min(load, MAX_LOAD) : UNKNOWN_LOAD);
        }

        /** Returns the total of this and a later observation of the same endpoint. */
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

    /** The actions that the host performs. */
    public interface Actions {
        /** Sends evidence to all other governors. The message may be lost. */
        void sendEvidence(Evidence evidence);

        /** Takes an observation into account as if own proxies had made it. */
        void applyObservation(EndpointObservation observation);

        /** Logs an event for operators, with keys and values in turn. */
        void logEvent(String text, Object... fields);
    }

    static final int MAX_OBSERVATIONS_PER_PACKET = 50;

    private static final int MAX_ENDPOINTS = 4096;

    /** Age above which the last report of a lost governor is not applied. */
    private static final double MAX_EVIDENCE_AGE_MILLIS = 5000;

    /**
     * Divisor of the send interval. A span counts as complete once no part of it has arrived for
     * the interval divided by this number.
     */
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
     * Creates the exchange of one generation of a governor.
     *
     * @param selfId this governor's id
     * @param generation this governor's generation: the start time of its process in ms since 1970,
     *     or higher
     * @param intervalMillis ms between two messages with own observations
     * @param maxCatchUpMillis the longest time in ms after the start to wait for evidence of other
     *     governors
     * @param continuous whether evidence of live governors is applied continuously
     * @param now current time in ms on this governor's clock
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

    /** Sets the clock to a time in ms. A time before the current one changes nothing. */
    public void advanceTo(double time) {
        now = Math.max(now, time);
    }

    /**
     * Records what own proxies observed. Observations that other governors reported are not
     * recorded here.
     */
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
     * Handles a report of another governor.
     *
     * @return false if the report was ignored because it is late or of an earlier generation
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

    /** Applies a span once all its parts, or a newer span, have arrived. */
    private void applyIfContinuous(EvidenceSource source) {
        if (continuous && source.isPending()) {
            apply(source);
        }
    }

    private void apply(EvidenceSource source) {
        source.markApplied();
        if (!source.isUnreliable()) {
            for (EndpointObservation observation : source.observations()) {
                pendingActions.add(actions -> actions.applyObservation(observation));
            }
        }
    }

    /**
     * Handles the loss of a governor that died, left or cannot be reached. Its last report is
     * applied if it is recent.
     */
    public void onGovernorLost(int governor) {
        EvidenceSource source = sourcesByGovernor.get(governor);
        if (source == null || !source.isPending()) {
            return;
        }
        double ageMillis = now - source.lastReceivedAt();
        boolean tooOld = ageMillis > MAX_EVIDENCE_AGE_MILLIS;
        String event = lossEventText(tooOld, source.isUnreliable());
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

    private static String lossEventText(boolean tooOld, boolean unreliable) {
        if (tooOld) {
            return "last evidence of a lost governor is too old";
        }
        return unreliable
                ? "last evidence of a lost governor is unreliable"
                : "last evidence of a lost governor is applied";
    }

    /**
     * Returns whether proxies may be accepted: evidence of other governors has arrived, or the
     * longest waiting time is over.
     */
    public boolean isCaughtUp() {
        return caughtUp;
    }

    /** Takes one decision. Returns false if no decision is due now. */
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
        return now - source.lastReceivedAt() > intervalMillis / SPAN_COMPLETE_DIVISOR;
    }

    /**
     * Applies the evidence of other governors once after the start. Returns whether the evidence
     * was applied by this call.
     */
    private boolean catchUp() {
        if (caughtUp) {
            return false;
        }
        boolean hasNewEvidence =
                sourcesByGovernor.values().stream()
                        .anyMatch(
                                source ->
                                        source.lastReceivedAt() > startedAt
                                                && isSpanComplete(source));
        if (!hasNewEvidence && now - startedAt < maxCatchUpMillis) {
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
                                "starts with the evidence of other governors",
                                "told",
                                sourceCount,
                                "afterMs",
                                Math.round(now - startedAt)));
        return true;
    }

    /**
     * Sends the observations of own proxies since the last call. Sends at least one message, even
     * without observations.
     */
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
