package sprucereview2;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;

/** The figures of one deployment. The defaults lie in the ranges of the first user's brief. */
final class Plan {
    String[] classes = {"read", "sign"};
    String[] effects = {"pure", "side_effect"};
    double[] shares = {0.62, 0.38};
    double[] worths = {1, 2};
    boolean[] homeOnly = {false, false};
    String[] zones = {"burnaby", "surrey", "richmond"};
    int replicas = 15;
    int proxies = 12;
    int governors = 1;
    double requestsPerSecond = 200;

    /** Work of a request, ms of one core. */
    double work = 120;

    double cores = 3;
    double coldFrom = 0.31;
    double warmAfter = 18_000;
    double drainGrace = 2000;
    double tipMultiple = 3;
    double fallSpan = 3000;
    double linesPerSecond = 3300;
    int head = 6;
    double queueCap = 5000;

    /** Lines of reports that a governor is given in a second. */
    int intake = 150;

    int messageLimit = 12;
    double messageSpan = 10_000;
    double transitMean = 200;
    double transitMost = 940;
    double unservedMost = 7800;
    double redialLeast = 490;
    double redialMost = 2500;
    boolean probes = true;
    boolean health = true;

    /** Time by which the limits on sockets are longer, ms. */
    double slack = 300;

    /** Proxies whose messages are recorded whole. */
    int recordedProxies = 3;

    private static JsonArray array(String[] values) {
        JsonArray array = new JsonArray();
        for (String value : values) {
            array.add(value);
        }
        return array;
    }

    private static long micros(double millis) {
        return Math.round(millis * 1000);
    }

    /** Returns the settings object of governor {@code me}. */
    JsonObject settings(int me) {
        JsonArray classList = new JsonArray();
        JsonArray own = new JsonArray();
        JsonArray writers = new JsonArray();
        for (int c = 0; c < classes.length; c++) {
            classList.add(
                    new JsonObject()
                            .add("name", classes[c])
                            .add("effect", effects[c])
                            .add("keyScope", "all")
                            .add("deadlineUs", 2_000_000)
                            .add("promiseUs", 750_000)
                            .add("windowUs", 5_000_000)
                            .add("lateWorth", 0.2)
                            .add("worth", worths[c]));
            own.add(homeOnly[c]);
            writers.add(effects[c].equals("side_effect"));
        }
        JsonObject family =
                new JsonObject()
                        .add("admit", "share")
                        .add("byZone", false)
                        .add("egressPerS", linesPerSecond)
                        .add("ejects", 5)
                        .add("firstWait", 0.8)
                        .add("head", (double) head)
                        .add("homeOnly", own)
                        .add("inFlightMaxUs", 2_020_000)
                        .add("intakePerS", (double) intake)
                        .add("keepsWritingUs", 2_500_000)
                        .add("minConnCap", 456.0)
                        .add("orderPrice", 0.02)
                        .add("parkUs", 300_000)
                        .add("proxies", proxies)
                        .add("pushDelayUs", micros(transitMean))
                        .add("queueCap", queueCap)
                        .add("reassignPrice", 0.01)
                        .add("reloadSpanUs", micros(messageSpan))
                        .add("reportEveryUs", 1_000_000)
                        .add("retryDefault", 0)
                        .add("selectsBy", "weighted")
                        .add("singleWriter", false)
                        .add("slices", 0)
                        .add("standing", 6)
                        .add("transitMaxUs", micros(transitMost))
                        .add("unservedMaxUs", micros(unservedMost))
                        .add("updateCap", messageLimit)
                        .add("warmKeys", false)
                        .add("writers", writers);
        JsonObject contract =
                new JsonObject()
                        .add("askEveryUs", 10_000_000)
                        .add("coldFrom", coldFrom)
                        .add("drainGraceUs", micros(drainGrace))
                        .add("fallUs", micros(fallSpan))
                        .add("tipMultiple", tipMultiple)
                        .add("warmAfterUs", micros(warmAfter));
        JsonObject ceilings =
                new JsonObject()
                        .add("connIdleUs", 15_000_000)
                        .add("connectTimeoutUs", 250_000)
                        .add("cpuUsPerS", 607_146)
                        .add("maxStreams", 32)
                        .add("peerMessages", false)
                        .add("probes", probes);
        JsonObject report =
                new JsonObject()
                        .add("how", "answers")
                        .add("names", array(new String[] {"cpu_share", "busy_reqs", "svc_ms"}));
        return new JsonObject()
                .add("balancers", governors)
                .add("ceilings", ceilings)
                .add("charges", new JsonObject())
                .add("classes", classList)
                .add("countedBy", "request")
                .add("family", "control")
                .add("familyInfo", family)
                .add("contract", contract)
                .add("goal", new JsonObject().add("whole", 0.8).add("worstClass", 0.2))
                .add("kinds", array(new String[] {"small-fast", "medium", "medium-slow"}))
                .add("me", me)
                .add("membershipMode", "pushed")
                .add("report", report)
                .add("tickUs", 5000)
                .add("weights", "none")
                .add("zone", me % zones.length)
                .add("zones", array(zones));
    }
}
