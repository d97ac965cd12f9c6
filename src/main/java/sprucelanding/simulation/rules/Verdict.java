package sprucelanding.simulation.rules;

/**
 * The result of one rule.
 *
 * @param rule name of the rule as reports print it
 * @param broken number of violations
 * @param evidence the first violation, or else the case that came nearest to one
 */
public record Verdict(String rule, int broken, String evidence) {
    /** Returns whether the rule was never violated. */
    public boolean kept() {
        return broken == 0;
    }
}
