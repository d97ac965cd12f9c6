package sprucelanding.simulation.rules;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * The rule that proxies do not overload an endpoint while it warms up. Only proxies whose governor
 * knows of the endpoint's start count as informed. A case is a violation only if informed proxies
 * sent more than two thirds of the work.
 */
final class WarmupRule implements Rule {
    /** Greatest difference between the reported and the actual start of an endpoint. */
    private static final double START_TOLERANCE_MILLIS = 1000;

    /** An endpoint that warms up, with the attempts that it received within the last window. */
    private static final class WarmingEndpoint {
        private final double startedAt;
        private final double capacity;
        private final ArrayDeque<TraceEvent.AttemptSent> window = new ArrayDeque<>();
        private double workMillis;
        private boolean hasViolation;

        WarmingEndpoint(double startedAt, double capacity) {
            this.startedAt = startedAt;
            this.capacity = capacity;
        }

        void add(TraceEvent.AttemptSent sent, double windowMillis) {
            window.addLast(sent);
            workMillis += sent.workMillis();
            while (window.peekFirst().at() < sent.at() - windowMillis) {
                workMillis -= window.pollFirst().workMillis();
            }
        }
    }

    private final RuleLimits limits;
    private final ObservedFleet fleet;
    private final ViolationCounter counter = new ViolationCounter("no cold replica pushed over");
    private final Map<Long, WarmingEndpoint> warmingEndpoints = new HashMap<>();

    WarmupRule(RuleLimits limits, ObservedFleet fleet) {
        this.limits = limits;
        this.fleet = fleet;
    }

    @Override
    public void accept(TraceEvent event) {
        if (event instanceof TraceEvent.AttemptSent sent) {
            WarmingEndpoint warming = warmingEndpoints.get(sent.endpointId());
            if (warming != null && !warming.hasViolation) {
                checkSent(sent, warming);
            }
        } else if (event instanceof TraceEvent.EndpointStarted started) {
            warmingEndpoints.put(
                    started.endpointId(), new WarmingEndpoint(started.at(), started.capacity()));
        } else if (event instanceof TraceEvent.EndpointStopped stopped) {
            warmingEndpoints.remove(stopped.endpointId());
        }
    }

    private void checkSent(TraceEvent.AttemptSent sent, WarmingEndpoint warming) {
        double ageMillis = sent.at() - warming.startedAt;
        if (ageMillis > limits.warmupMillis() + limits.overloadWindowMillis()) {
            warmingEndpoints.remove(sent.endpointId());
            return;
        }
        warming.add(sent, limits.overloadWindowMillis());
        double limitMillis = workLimitMillis(warming, ageMillis);
        boolean isMostlyFromInformedProxies =
                informedWorkMillis(warming) > warming.workMillis * 2 / 3;
        warming.hasViolation = isMostlyFromInformedProxies && warming.workMillis > limitMillis;
        counter.recordShare(
                isMostlyFromInformedProxies ? warming.workMillis / limitMillis : 0,
                "at %.3f s %d, up for %.1f s, was brought %.0f ms of work within %.1f s",
                fleet.seconds(sent.at()),
                sent.endpointId(),
                ageMillis / 1000,
                warming.workMillis,
                limits.overloadWindowMillis() / 1000);
    }

    private double workLimitMillis(WarmingEndpoint warming, double ageMillis) {
        double warmShare =
                limits.coldCapacityShare()
                        + (1 - limits.coldCapacityShare())
                                * Math.min(1, ageMillis / limits.warmupMillis());
        return limits.overloadFactor()
                * warming.capacity
                * warmShare
                * limits.overloadWindowMillis();
    }

    /**
     * Returns the work from proxies whose governor knew of the endpoint's start when they sent the
     * work.
     */
    private double informedWorkMillis(WarmingEndpoint warming) {
        double informed = 0;
        for (TraceEvent.AttemptSent sent : warming.window) {
            informed += isSenderInformed(sent, warming) ? sent.workMillis() : 0;
        }
        return informed;
    }

    private boolean isSenderInformed(TraceEvent.AttemptSent sent, WarmingEndpoint warming) {
        return fleet.listedEndpoint(sent.proxy(), sent.endpointId())
                .filter(
                        listed ->
                                listed.startedAt() >= warming.startedAt - START_TOLERANCE_MILLIS
                                        && listed.since() < sent.at())
                .isPresent();
    }

    @Override
    public Verdict verdict() {
        return counter.verdict();
    }
}
