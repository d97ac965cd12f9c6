package sprucelanding.simulation.rules;

/**
 * The result of checking one rule.
 *
 * @param rule name of the rule as reports print it
 * @param broken number of violations
 * @param evidence description of the first violation; without a violation, of the case that came
 *     nearest to the limit
 */
public record Verdict(String rule, int broken, String evidence) {
    /** Returns whether the rule was never violated. */
    public boolean kept() {
        return broken == 0;
    }
}
