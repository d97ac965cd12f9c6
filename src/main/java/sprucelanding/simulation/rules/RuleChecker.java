package sprucelanding.simulation.rules;

import java.util.ArrayList;
import java.util.List;

/**
 * A checker of all rules. It accepts each observed event once, in order of time. Not thread-safe.
 */
public final class RuleChecker {
    private final ObservedFleet fleet = new ObservedFleet();
    private final TableEntriesRule tableEntriesRule;
    private final SingleGovernorRule singleGovernorRule;

    /** The rules that apply to every trace, in the order in which reports list them. */
    private final List<Rule> rules;

    private double tablesCheckedAt;
    private double lastEventAt;

    /** Creates a checker that has not accepted any event yet. */
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
     * Checks all events of a trace.
     *
     * @param events events in order of time
     * @return the verdicts, in the order of {@link #verdicts}
     */
    public static List<Verdict> check(List<TraceEvent> events, RuleLimits limits) {
        RuleChecker checker = new RuleChecker(limits);
        events.forEach(checker::accept);
        return checker.verdicts();
    }

    /**
     * Returns the verdicts on all events so far, in this order: table entries, single execution,
     * drains, warm-up, message rate. The verdict on the single governor follows if governors share
     * the fleet.
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

    /** Checks the next event. Events must be passed in order of time. */
    public void accept(TraceEvent event) {
        if (!fleet.isStarted()) {
            fleet.startAt(event.at());
            tablesCheckedAt = event.at();
        }
        if (event.at() > tablesCheckedAt + ObservedFleet.RECORDING_DELAY_MILLIS) {
            tableEntriesRule.check(event.at());
            tablesCheckedAt = event.at();
        }
        lastEventAt = event.at();
        fleet.apply(event);
        for (Rule rule : rules) {
            rule.accept(event);
        }
        singleGovernorRule.accept(event);
    }
}
