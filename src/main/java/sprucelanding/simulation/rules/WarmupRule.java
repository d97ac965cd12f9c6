package sprucelanding.simulation.rules;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/** Proxies whose governor knows of an endpoint's start don't overload it while it warms up. */
final class WarmupRule implements Rule {
    /** Difference between the start as discovery reports it and that of the process. */
    private static final double START_TOLERANCE_MILLIS = 1000;

    /** An endpoint that warms up, with the attempts of the last window. */
    private static final class WarmingEndpoint {
        private final double startedAt;
        private final double capacity;
        private final ArrayDeque<TraceEvent.AttemptSent> window = new ArrayDeque<>();
        private double workMillis;
        private boolean violated;

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
            if (warming != null && !warming.violated) {
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
        double age = sent.at() - warming.startedAt;
        if (age > limits.warmupMillis() + limits.overloadWindowMillis()) {
            warmingEndpoints.remove(sent.endpointId());
            return;
        }
        warming.add(sent, limits.overloadWindowMillis());
        double limit = workLimitMillis(warming, age);
        boolean causedByInformed = informedWorkMillis(warming) > warming.workMillis * 2 / 3;
        warming.violated = causedByInformed && warming.workMillis > limit;
        counter.recordShare(
                causedByInformed ? warming.workMillis / limit : 0,
                "at %.3f s %d, up for %.1f s, was brought %.0f ms of work within %.1f s",
                fleet.seconds(sent.at()),
                sent.endpointId(),
                age / 1000,
                warming.workMillis,
                limits.overloadWindowMillis() / 1000);
    }

    private double workLimitMillis(WarmingEndpoint warming, double age) {
        double warmShare =
                limits.coldCapacityShare()
                        + (1 - limits.coldCapacityShare())
                                * Math.min(1, age / limits.warmupMillis());
        return limits.overloadFactor()
                * warming.capacity
                * warmShare
                * limits.overloadWindowMillis();
    }

    /** Work from proxies whose governor knew of the start when they sent it. */
    private double informedWorkMillis(WarmingEndpoint warming) {
        double informed = 0;
        for (TraceEvent.AttemptSent sent : warming.window) {
            informed += knewOfStart(sent, warming) ? sent.workMillis() : 0;
        }
        return informed;
    }

    private boolean knewOfStart(TraceEvent.AttemptSent sent, WarmingEndpoint warming) {
        return fleet.listedFor(sent.proxy(), sent.endpointId())
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
