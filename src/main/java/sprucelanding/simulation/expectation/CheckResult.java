package sprucelanding.simulation.expectation;

import java.util.Locale;

/**
 * The result of checking an expectation on a sequence of events.
 *
 * @param failure description of the failure; empty if the expectation did not fail
 */
record CheckResult(Status status, String failure) {
    /** The status of an expectation after a sequence. */
    enum Status {
        /** The expectation applied and held. */
        HELD,
        /** The expectation applied to nothing in the fleet. */
        NOT_APPLICABLE,
        /** The expectation applied and failed. */
        FAILED
    }

    static final CheckResult HELD = new CheckResult(Status.HELD, "");
    static final CheckResult NOT_APPLICABLE = new CheckResult(Status.NOT_APPLICABLE, "");

    static CheckResult failed(String format, Object... args) {
        return new CheckResult(Status.FAILED, String.format(Locale.ROOT, format, args));
    }

    /** Returns the result of an expectation that did not fail. */
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
