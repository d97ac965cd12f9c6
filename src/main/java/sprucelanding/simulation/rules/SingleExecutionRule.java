package sprucelanding.simulation.rules;

import java.util.HashMap;
import java.util.Map;

/** The rule that a request of a non-retryable request class is executed at most once. */
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
            TraceEvent.Executed earlier = executionsByRequest.put(executed.requestId(), executed);
            if (earlier != null) {
                recordSecondExecution(earlier, executed);
            }
        }
    }

    private void recordSecondExecution(TraceEvent.Executed earlier, TraceEvent.Executed executed) {
        counter.recordViolation(
                "txn %d took effect at %d at %.3f s, and at %d at %.3f s",
                executed.requestId(),
                earlier.endpointId(),
                fleet.seconds(earlier.at()),
                executed.endpointId(),
                fleet.seconds(executed.at()));
    }

    @Override
    public Verdict verdict() {
        return counter.verdict();
    }
}
