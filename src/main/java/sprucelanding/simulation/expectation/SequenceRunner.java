package sprucelanding.simulation.expectation;

import java.util.List;
import java.util.concurrent.atomic.LongAdder;
import sprucelanding.config.governor.GovernorConfig;
import sprucelanding.simulation.expectation.Expectations.Expectation;
import sprucelanding.simulation.scenario.Scenario;

/**
 * A runner that plays sequences of events and checks expectations on them. The runner is
 * thread-safe because each run has a separate flow.
 */
final class SequenceRunner {
    /** Time after which a started fleet has settled. */
    private static final double SETTLE_TIME_MS = 12_000;

    private static final double CHECK_INTERVAL_MS = 500;

    private final Scenario scenario;
    private final GovernorConfig config;
    private final LongAdder runs = new LongAdder();
    private final LongAdder internalErrors = new LongAdder();

    SequenceRunner(Scenario scenario, GovernorConfig config) {
        this.scenario = scenario;
        this.config = config;
    }

    /** Returns the number of sequences that were played. */
    long runs() {
        return runs.sum();
    }

    /** Returns the number of decisions that threw an exception. */
    int internalErrors() {
        return internalErrors.intValue();
    }

    /** Plays a sequence that starts with a settled fleet, and checks one expectation. */
    CheckResult run(Expectation expectation, EventSequence sequence) {
        runs.increment();
        TrafficFlow flow = new TrafficFlow(scenario, config);
        flow.advance(SETTLE_TIME_MS);
        List<FlowEndpoint> affected = inject(flow, sequence);
        CheckResult result = check(flow, expectation, affected);
        internalErrors.add(flow.internalErrors());
        return result;
    }

    /** Injects all events and returns the endpoints of the last event that affected endpoints. */
    private static List<FlowEndpoint> inject(TrafficFlow flow, EventSequence sequence) {
        List<FlowEndpoint> affected = List.of();
        for (InjectedEvent event : sequence.events()) {
            flow.advance(event.delayMillis());
            List<FlowEndpoint> targets =
                    event.endpoints().stream().map(flow.endpoints()::get).toList();
            flow.apply(event.kind(), targets, event.size());
            affected = targets.isEmpty() ? affected : targets;
        }
        return affected;
    }

    private CheckResult check(
            TrafficFlow flow, Expectation expectation, List<FlowEndpoint> affected) {
        // A gentle start is checked from the last event until the time "within", every other
        // condition
        // from that time on for the duration "holds".
        boolean isCheckedUntilWithin = Condition.of(expectation) == Condition.GENTLE_START;
        if (!isCheckedUntilWithin) {
            flow.advance(expectation.within());
        }
        double end =
                flow.now() + (isCheckedUntilWithin ? expectation.within() : expectation.holds());
        ConditionEvaluator evaluator = new ConditionEvaluator(scenario, flow, expectation);
        CheckResult result = CheckResult.NOT_APPLICABLE;
        while (flow.now() < end && !result.hasFailed()) {
            flow.advance(CHECK_INTERVAL_MS);
            CheckResult current = checkRequestClasses(evaluator, expectation, affected);
            result = current.isApplicable() ? current : result;
        }
        return result;
    }

    private CheckResult checkRequestClasses(
            ConditionEvaluator evaluator, Expectation expectation, List<FlowEndpoint> affected) {
        CheckResult result = CheckResult.NOT_APPLICABLE;
        for (int i = 0; i < scenario.products().size(); i++) {
            String name = scenario.products().get(i).name();
            if (expectation.product() == null || expectation.product().equals(name)) {
                CheckResult current = evaluator.evaluate(affected, i);
                if (current.hasFailed()) {
                    return CheckResult.failed("%s: %s", name, current.failure());
                }
                result = current.isApplicable() ? current : result;
            }
        }
        return result;
    }

    /** Removes the events that are not necessary for the failure of a failing sequence. */
    EventSequence reduce(Expectation expectation, EventSequence sequence) {
        EventSequence shortest = sequence;
        int position = 0;
        while (position < shortest.events().size()) {
            EventSequence shorter = shortest.without(position);
            if (run(expectation, shorter).hasFailed()) {
                shortest = shorter;
            } else {
                position++;
            }
        }
        return shortest;
    }
}
