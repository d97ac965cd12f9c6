package sprucelanding.simulation.rules;

import java.util.Locale;

/** A counter of the violations of one rule, which also keeps the evidence for the verdict. */
final class ViolationCounter {
    /** Any share above 1 is a violation. */
    private static final double VIOLATION_SHARE = 2;

    private final String rule;
    private int violations;
    private String firstViolation = "";
    private double highestShare;
    private String highestShareEvidence = "";

    /**
     * Creates a counter without violations.
     *
     * @param rule name of the rule as reports print it
     */
    ViolationCounter(String rule) {
        this.rule = rule;
    }

    /**
     * Records one case that the rule was checked on.
     *
     * @param share measured value divided by its limit; a share above 1 is a violation
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

    /** Records a violation of a rule that has no numeric limit. */
    void recordViolation(String format, Object... args) {
        recordShare(VIOLATION_SHARE, format, args);
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
