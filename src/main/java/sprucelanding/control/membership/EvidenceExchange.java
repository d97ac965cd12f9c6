package sprucelanding.control.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What governors tell each other of the replicas, as evidence with age and source and never as
 * orders: sums of what their own proxies met, in bounded messages. A governor that starts hears it
 * before it decides; when another dies or leaves, its last word is taken in once, if it is not too
 * old; and between living ones it is taken in all along where that is wanted. Who sees most
 * replicas fail is rather cut off itself: that is left out. Call clock, met and heard, then decide
 * until it says false.
 */
public final class EvidenceExchange {
    /**
     * What a governor's proxies met at a replica: tries, those voided, ms a settled one took, load
     * as told (negative: not).
     */
    public record EndpointObservation(
            long endpoint, int attempts, int failedAttempts, double responseMillis, double load) {}

    public interface Actions {
        void sendEvidence(Evidence evidence);

        /** To be taken as if own proxies had met it. */
        void applyObservation(EndpointObservation observation);

        void logEvent(String text, Object... figures);
    }

    private static final class Source {
        long generation;
        long sequence = -1;
        double lastHeardAt;
        double spanMillis;
        boolean used;
        final List<EndpointObservation> observations = new ArrayList<>();
    }

    static final int MAX_OBSERVATIONS_PER_PACKET = 50; // in one packet
    private static final int MAX_ENDPOINTS = 4096;
    private static final double MAX_EVIDENCE_AGE_MILLIS =
            5000; // ms, past which a last word is no evidence
    private static final double DOUBTFUL_ENDPOINT_FRACTION =
            0.34; // of a source's replicas fail half of its tries
    private static final int MAX_COUNT = 60_000;

    private final int selfId;
    private final long generation;
    private final double intervalMillis;
    private final double maxCatchUpMillis;
    private final boolean continuous;
    private final double startedAt;
    private final Map<Integer, Source> sourcesByGovernor = new TreeMap<>();
    private final Map<Long, EndpointObservation> ownObservations = new LinkedHashMap<>();
    private final ArrayDeque<Runnable> pendingActions = new ArrayDeque<>();
    private Actions actions;
    private double now;
    private double lastSentAt;
    private long sequence;
    private boolean caughtUp;

    /**
     * @param every ms between two tellings
     * @param catches ms that a governor which starts waits for the others' words at the most
     * @param always what living governors tell is taken in all along, too
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

    public void advanceTo(double time) {
        now = Math.max(now, time);
    }

    /** What its own proxies met; not what others told. */
    public void recordOwnObservation(
            long endpoint, int attempts, int failedAttempts, double responseMillis, double load) {
        if (attempts > 0
                && (ownObservations.size() < MAX_ENDPOINTS
                        || ownObservations.containsKey(endpoint))) {
            ownObservations.merge(
                    endpoint,
                    boundedObservation(endpoint, attempts, failedAttempts, responseMillis, load),
                    EvidenceExchange::merge);
        }
    }

    private static EndpointObservation boundedObservation(
            long endpoint, int attempts, int failedAttempts, double responseMillis, double load) {
        int boundedAttempts = Math.min(attempts, MAX_COUNT);
        return new EndpointObservation(
                endpoint,
                boundedAttempts,
                Math.max(0, Math.min(failedAttempts, boundedAttempts)),
                responseMillis >= 0 ? Math.min(responseMillis, 1e6) : 0,
                load >= 0 ? Math.min(load, 4) : -1);
    }

    private static EndpointObservation merge(
            EndpointObservation first, EndpointObservation second) {
        int firstCompleted = first.attempts - first.failedAttempts;
        int secondCompleted = second.attempts - second.failedAttempts;
        double meanResponseMillis =
                firstCompleted + secondCompleted == 0
                        ? 0
                        : (first.responseMillis * firstCompleted
                                        + second.responseMillis * secondCompleted)
                                / (firstCompleted + secondCompleted);
        return boundedObservation(
                first.endpoint,
                first.attempts + second.attempts,
                first.failedAttempts + second.failedAttempts,
                meanResponseMillis,
                second.load >= 0 ? second.load : first.load);
    }

    /** False: it is late, or of an earlier life, and nothing of it was taken. */
    public boolean onEvidence(Evidence evidence) {
        if (evidence.sender() == selfId) {
            return false;
        }
        Source source =
                sourcesByGovernor.computeIfAbsent(evidence.sender(), observation -> new Source());
        if (evidence.generation() < source.generation
                || evidence.generation() == source.generation
                        && evidence.sequence() < source.sequence) {
            return false;
        }
        if (evidence.generation() > source.generation || evidence.sequence() > source.sequence) {
            applyIfContinuous(source);
            source.generation = evidence.generation();
            source.sequence = evidence.sequence();
            source.observations.clear();
            source.spanMillis = evidence.spanMillis();
            source.used = false;
        }
        source.lastHeardAt = now;
        if (source.observations.size() + evidence.observations().size() <= MAX_ENDPOINTS) {
            evidence.observations()
                    .forEach(
                            observation ->
                                    source.observations.add(
                                            boundedObservation(
                                                    observation.endpoint,
                                                    observation.attempts,
                                                    observation.failedAttempts,
                                                    observation.responseMillis,
                                                    observation.load)));
        }
        return true;
    }

    /** The parts of a span have all come, or a newer one has. */
    private void applyIfContinuous(Source source) {
        if (continuous && !source.used && !source.observations.isEmpty()) {
            applyObservations(source);
        }
    }

    private void applyObservations(Source source) {
        source.used = true;
        if (!isDoubtful(source.observations)) {
            List<EndpointObservation> observations = List.copyOf(source.observations);
            observations.forEach(
                    observation -> pendingActions.add(() -> actions.applyObservation(observation)));
        }
    }

    static boolean isDoubtful(List<EndpointObservation> observations) {
        long failing =
                observations.stream()
                        .filter(
                                observation ->
                                        2 * observation.failedAttempts > observation.attempts)
                        .count();
        return failing > DOUBTFUL_ENDPOINT_FRACTION * observations.size();
    }

    /** A governor died, left or cannot be heard: its last word is taken in, if it is young. */
    public void onGovernorLost(int governor) {
        Source source = sourcesByGovernor.get(governor);
        double age = source == null ? 0 : now - source.lastHeardAt;
        if (source == null || source.used || source.observations.isEmpty()) {
            return;
        }
        boolean tooOld = age > MAX_EVIDENCE_AGE_MILLIS;
        boolean doubtful = isDoubtful(source.observations);
        int count = source.observations.size();
        pendingActions.add(
                () ->
                        actions.logEvent(
                                tooOld
                                        ? "a last word is too old"
                                        : doubtful
                                                ? "a last word is doubted"
                                                : "a last word is taken in",
                                "of",
                                governor,
                                "ageMs",
                                Math.round(age),
                                "replicas",
                                count));
        if (!tooOld) {
            applyObservations(source);
        }
        source.used = true;
    }

    /** Whether proxies may be taken: what others know was heard, or waited for long enough. */
    public boolean isCaughtUp() {
        return caughtUp;
    }

    /** One decision; false if there is none now. */
    public boolean decide(Actions output) {
        actions = output;
        Runnable first = pendingActions.poll();
        if (first != null) {
            first.run();
            return true;
        }
        if (!caughtUp) {
            boolean anyHeard =
                    sourcesByGovernor.values().stream()
                            .anyMatch(
                                    source ->
                                            source.lastHeardAt > startedAt
                                                    && now - source.lastHeardAt
                                                            > intervalMillis / 10);
            if (anyHeard || now - startedAt >= maxCatchUpMillis) {
                caughtUp = true;
                for (Source source : sourcesByGovernor.values()) {
                    applyObservations(source);
                }
                int sourceCount =
                        (int)
                                sourcesByGovernor.values().stream()
                                        .filter(source -> !source.observations.isEmpty())
                                        .count();
                pendingActions.add(
                        () ->
                                actions.logEvent(
                                        "begins with what others know",
                                        "told",
                                        sourceCount,
                                        "afterMs",
                                        Math.round(now - startedAt)));
                return true;
            }
        }
        for (Source source : sourcesByGovernor.values()) {
            if (now - source.lastHeardAt > intervalMillis / 10) {
                applyIfContinuous(source);
            }
        }
        if (!pendingActions.isEmpty()) {
            return true;
        }
        if (now - lastSentAt < intervalMillis) {
            return false;
        }
        double spanMillis = now - lastSentAt;
        lastSentAt = now;
        sequence++;
        List<EndpointObservation> observations = List.copyOf(ownObservations.values());
        ownObservations.clear();
        for (int i = 0; i == 0 || i < observations.size(); i += MAX_OBSERVATIONS_PER_PACKET) {
            output.sendEvidence(
                    new Evidence(
                            selfId,
                            generation,
                            sequence,
                            spanMillis,
                            observations.subList(
                                    i,
                                    Math.min(
                                            observations.size(),
                                            i + MAX_OBSERVATIONS_PER_PACKET))));
        }
        return true;
    }
}
