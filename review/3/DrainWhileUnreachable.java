package review;

import java.nio.file.Path;
import java.util.List;

/**
 * Case 3: a zone's replicas drain and leave while its proxies reach no governor, and the governor
 * is restarted.
 */
public final class DrainWhileUnreachable {
    private DrainWhileUnreachable() {}

    /** Runs the case; the argument is the folder of the record. */
    public static void main(String[] args) {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        Fleet fleet = null;
        try {
            Fleet.Plan plan = new Fleet.Plan();
            plan.homeOnly = new boolean[] {false, true};
            fleet = new Fleet(plan, Path.of(args[0]));
            fleet.start();
            double start = fleet.now();
            List<Fleet.Replica> leaving = fleet.inZone("surrey");
            fleet.until(start + 6_000);
            if (hasTrouble) {
                fleet.cutOff("surrey", true);
            }
            fleet.until(start + 7_000);
            fleet.discovery.change("draining", leaving);
            fleet.until(start + 10_000);
            for (Fleet.Replica replica : leaving) {
                replica.die(); // it has completed what it had
            }
            fleet.discovery.change("gone", leaving);
            fleet.until(start + 11_000);
            if (hasTrouble) {
                fleet.governor.terminate();
                fleet.until(start + 13_000);
                fleet.governor.start();
            }
            fleet.until(start + 16_000);
            if (hasTrouble) {
                fleet.cutOff("surrey", false);
            }
            fleet.until(start + 45_000);
            exit = fleet.drainBreaks > 0 ? Fleet.BROKEN : 0;
            fleet.summary();
            if (!fleet.governor.answersPing(5000)) {
                throw new IllegalStateException("the governor is not in service at the end");
            }
            fleet.governor.logToRecord();
            fleet.log("verdict", exit == Fleet.BROKEN ? "the rule was broken" : "the rule held");
        } catch (Throwable e) {
            e.printStackTrace();
            exit = 2;
        } finally {
            if (fleet != null) {
                fleet.end();
            }
        }
        System.exit(exit);
    }
}
