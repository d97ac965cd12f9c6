package review;

import java.nio.file.Path;

/** Case 3: a proxy with few requests dies and comes back while the replicas are busy. */
public final class IdleProxyRestart {
    private IdleProxyRestart() {}

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
            plan.ratePerProxy = new double[] {0.02, 0.02};
            plan.share = 0.0; // 0.04 requests a second, to one decimal
            fleet = new Fleet(plan, Path.of(args[0]));
            fleet.setUtil(0.82); // mostly from the proxies of the other governors
            fleet.start();
            double start = fleet.now();
            fleet.until(start + 30_000);
            if (hasTrouble) {
                fleet.proxies.get(0).die();
                fleet.until(start + 32_000);
                fleet.proxies.get(0).restart();
            }
            fleet.until(start + 40_000);
            fleet.setUtil(0.55);
            exit = fleet.governor.isSilentFor(20_000, start + 75_000) ? 1 : 0;
            fleet.summary();
            fleet.governor.logToRecord();
            fleet.log("verdict", exit == 1 ? "the rule was broken" : "the rule held");
        } catch (Exception e) {
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
