package sprucelanding.simulation.rules;

import java.util.Locale;

/** Counts the violations of one rule and keeps the evidence for its verdict. */
final class ViolationCounter {
    private static final double VIOLATION = 2;

    private final String rule;
    private int violations;
    private String firstViolation = "";
    private double highestShare;
    private String highestShareEvidence = "";

    /**
     * @param rule name of the rule as reports print it
     */
    ViolationCounter(String rule) {
        this.rule = rule;
    }

    /**
     * Records one case.
     *
     * @param share measured value as a share of its limit; above 1 it is a violation
     * @param format description of the case, with {@code args} as in {@link String#format}
     */
    void recordShare(double share, String format, Object... args) {
        if (share > 1) {
            if (violations == 0) {
                firstViolation = describe(format, args);
            }
            violations++;
        } else if (share > highestShare) {
            highestShare = share;
            highestShareEvidence = describe(format, args);
        }
    }

    /** Records a violation of a rule that has no measure. */
    void recordViolation(String format, Object... args) {
        recordShare(VIOLATION, format, args);
    }

    Verdict verdict() {
        return new Verdict(rule, violations, evidence());
    }

    private String evidence() {
        if (violations > 0) {
            return violations + " cases, the first: " + firstViolation;
        }
        if (highestShareEvidence.isEmpty()) {
            return "nothing came near";
        }
        return describe("nearest %.0f%%: %s", 100 * highestShare, highestShareEvidence);
    }

    private static String describe(String format, Object... args) {
        return String.format(Locale.ROOT, format, args);
    }
}
