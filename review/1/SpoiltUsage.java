package review;

import java.nio.file.Path;

/** Case 1: one usage report arrives spoilt; the load of the replicas rises later. */
public final class SpoiltUsage {
    private SpoiltUsage() {}

    /** Runs the case; the argument is the folder of the record. */
    public static void main(String[] args) {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        Fleet fleet = null;
        try {
            Fleet.Plan plan = new Fleet.Plan();
            plan.governors = 3;
            plan.joining = 3; // a governor for each zone; this one has the proxies of its own zone
            plan.zonesWithProxies = new boolean[] {true, false, false};
            plan.homeOnly = new boolean[] {false, true};
            plan.probes = true;
            fleet = new Fleet(plan, Path.of(args[0]));
            fleet.setUtil(0.6);
            fleet.start();
            double start = fleet.now();
            fleet.until(start + 12_000);
            if (hasTrouble) {
                fleet.proxies.get(0).spoilUsage(1, "6.9e-310");
            }
            fleet.until(start + 16_000);
            fleet.setUtil(0.78);
            exit = fleet.governor.isSilentFor(20_000, start + 55_000) ? Fleet.BROKEN : 0;
            fleet.summary();
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
