package sprucelanding.cli;

/** Exit codes of the program. */
final class ExitCode {
    static final int OK = 0;

    /** A run or a check failed, compared values differ, or a rule was broken. */
    static final int FAILED = 1;

    /** An argument or input file cannot be used. */
    static final int UNUSABLE_INPUT = 2;

    private ExitCode() {}

    /** Returns {@link #OK} if the command passed, otherwise {@link #FAILED}. */
    static int of(boolean passed) {
        return passed ? OK : FAILED;
    }
}
