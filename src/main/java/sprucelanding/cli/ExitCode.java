package sprucelanding.cli;

/** Exit codes of the program. */
final class ExitCode {
    static final int OK = 0;

    /** What was run or compared failed, differed or broke a rule. */
    static final int FAILED = 1;

    /** What was given cannot be used. */
    static final int UNUSABLE_INPUT = 2;

    private ExitCode() {}

    /** {@link #OK} or {@link #FAILED}. */
    static int of(boolean passed) {
        return passed ? OK : FAILED;
    }
}
