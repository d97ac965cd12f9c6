package sprucereview2;

import java.nio.file.Path;

/** The frame of a case: a fleet, the disruption unless TROUBLE is 0, and the exit code. */
abstract class ReviewCase {
    private static final int COULD_NOT_RUN = 2;

    /** Time after which a case that has not ended counts as one that could not run, ms. */
    private static final long LONGEST_RUN = 105_000;

    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));

    /** Returns the figures of the deployment. */
    abstract Plan plan();

    /** Plays the case. */
    abstract void play(Fleet fleet) throws Exception;

    /**
     * Returns the rules that the case judges, by their names in the record; a broken rule that is
     * not among them is recorded too.
     */
    abstract String[] rules();

    private static void endLate(Fleet fleet) {
        try {
            Thread.sleep(LONGEST_RUN);
            fleet.record.line("the case has not ended in time");
            fleet.killGovernors();
            Runtime.getRuntime().halt(COULD_NOT_RUN);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Runs the case and ends this program. */
    final void run(String recordFile) {
        int code = COULD_NOT_RUN;
        try (Fleet fleet = new Fleet(plan(), Path.of(recordFile))) {
            Runtime.getRuntime().addShutdownHook(new Thread(fleet::killGovernors));
            Discovery.daemon(() -> endLate(fleet), "watchdog");
            fleet.record.line("disruption: %s", hasTrouble ? "yes" : "none");
            fleet.startGovernors();
            fleet.startProxies();
            play(fleet);
            code = fleet.finish(rules());
        } catch (Exception | Error e) { // the case could not run
            e.printStackTrace();
            code = COULD_NOT_RUN;
        }
        System.exit(code);
    }
}
