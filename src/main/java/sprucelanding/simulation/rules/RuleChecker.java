package sprucelanding.simulation.rules;

import java.util.ArrayList;
import java.util.List;

/**
 * Checks the rules over observed events, which it takes once each and in order of time. Not safe
 * for use by several threads.
 */
public final class RuleChecker {
    private final ObservedFleet fleet = new ObservedFleet();
    private final TableEntriesRule tableEntriesRule;
    private final SingleGovernorRule singleGovernorRule;

    /** The rules that always apply, in the order of reports. */
    private final List<Rule> rules;

    private double checkedAt;
    private double lastEventAt;

    /** Creates a checker that has seen no events. */
    public RuleChecker(RuleLimits limits) {
        tableEntriesRule = new TableEntriesRule(limits, fleet);
        singleGovernorRule = new SingleGovernorRule(fleet);
        rules =
                List.of(
                        tableEntriesRule,
                        new SingleExecutionRule(limits, fleet),
                        new DrainRule(limits, fleet),
                        new WarmupRule(limits, fleet),
                        new MessageRateRule(limits, fleet));
    }

    /**
     * Checks a whole trace.
     *
     * @param events in order of time
     * @return the verdicts in the order of {@link #verdicts}
     */
    public static List<Verdict> check(List<TraceEvent> events, RuleLimits limits) {
        RuleChecker checker = new RuleChecker(limits);
        events.forEach(checker::accept);
        return checker.verdicts();
    }

    /**
     * Returns the verdicts up to the last event: table entries, repeated execution, drains, warmup,
     * message rate, and single governor where governors share the fleet.
     */
    public List<Verdict> verdicts() {
        tableEntriesRule.check(lastEventAt);
        List<Verdict> verdicts = new ArrayList<>();
        for (Rule rule : rules) {
            verdicts.add(rule.verdict());
        }
        if (singleGovernorRule.isApplicable()) {
            verdicts.add(singleGovernorRule.verdict());
        }
        return verdicts;
    }

    /** Takes the next event, in order of time. */
    public void accept(TraceEvent event) {
        if (!fleet.isStarted()) {
            fleet.startAt(event.at());
            checkedAt = event.at();
        }
        if (event.at() > checkedAt + ObservedFleet.RECORDING_DELAY_MILLIS) {
            tableEntriesRule.check(event.at());
            checkedAt = event.at();
        }
        lastEventAt = event.at();
        fleet.apply(event);
        for (Rule rule : rules) {
            rule.accept(event);
        }
        singleGovernorRule.accept(event);
    }
}
