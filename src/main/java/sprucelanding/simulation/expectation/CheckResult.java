package sprucelanding.simulation.expectation;

import java.util.Locale;

/**
 * What a sequence showed of an expectation.
 *
 * @param failure what was seen, if it failed; else empty
 */
record CheckResult(Status status, String failure) {
    /** How an expectation fared. */
    enum Status {
        /** It applied and held. */
        HELD,
        /** There was nothing that it could apply to. */
        NOT_APPLICABLE,
        /** It applied and failed. */
        FAILED
    }

    static final CheckResult HELD = new CheckResult(Status.HELD, "");
    static final CheckResult NOT_APPLICABLE = new CheckResult(Status.NOT_APPLICABLE, "");

    static CheckResult failed(String format, Object... args) {
        return new CheckResult(Status.FAILED, String.format(Locale.ROOT, format, args));
    }

    /** Returns the result of an expectation that didn't fail. */
    static CheckResult held(boolean isApplicable) {
        return isApplicable ? HELD : NOT_APPLICABLE;
    }

    boolean hasFailed() {
        return status == Status.FAILED;
    }

    boolean isApplicable() {
        return status != Status.NOT_APPLICABLE;
    }
}
