package sprucelanding.simulation.rules;

import java.util.HashMap;
import java.util.Map;

/** A request of a class that must not be repeated is executed once at most. */
final class SingleExecutionRule implements Rule {
    private final RuleLimits limits;
    private final ObservedFleet fleet;
    private final ViolationCounter counter = new ViolationCounter("no effect twice");
    private final Map<Long, TraceEvent.Executed> executionsByRequest = new HashMap<>();

    SingleExecutionRule(RuleLimits limits, ObservedFleet fleet) {
        this.limits = limits;
        this.fleet = fleet;
    }

    @Override
    public void accept(TraceEvent event) {
        if (event instanceof TraceEvent.Executed executed
                && limits.nonRetryable().get(executed.requestClass())) {
            TraceEvent.Executed before = executionsByRequest.put(executed.requestId(), executed);
            if (before != null) {
                recordRepetition(before, executed);
            }
        }
    }

    private void recordRepetition(TraceEvent.Executed before, TraceEvent.Executed executed) {
        counter.recordViolation(
                "txn %d took effect at %d at %.3f s, and at %d at %.3f s",
                executed.requestId(),
                before.endpointId(),
                fleet.seconds(before.at()),
                executed.endpointId(),
                fleet.seconds(executed.at()));
    }

    @Override
    public Verdict verdict() {
        return counter.verdict();
    }
}
