package review;

import java.nio.file.Path;
import java.util.List;

/** Case 2: a zone's replicas die and come back cold; meanwhile the governor is restarted. */
public final class ZoneLossAndRestart {
    private ZoneLossAndRestart() {}

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
            List<Fleet.Replica> lost = fleet.inZone("surrey");
            fleet.until(start + 7_000);
            if (hasTrouble) {
                for (Fleet.Replica replica : lost) {
                    replica.die();
                }
                fleet.until(start + 8_800);
                fleet.discovery.change("gone", lost);
                fleet.until(start + 13_000);
                fleet.governor.terminate();
                fleet.until(start + 15_000);
                fleet.governor.start();
                fleet.until(start + 20_000);
                for (Fleet.Replica replica : lost) {
                    replica.restart();
                }
                fleet.until(start + 21_000);
                fleet.discovery.change("ready", lost);
            }
            fleet.until(start + 50_000);
            exit = fleet.isBareRuleBroken() ? Fleet.BROKEN : 0;
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
