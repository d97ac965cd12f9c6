package sprucelanding.simulation.soak;

/** A writer of the node configuration that a {@code serve} process reads, in JSON. */
final class ServeConfig {
    private static final double WARM_UP_MS = 6000;

    private static final String OWN_ZONE_CLASS =
            ",{\"name\":\""
                    + SoakFleet.OWN_ZONE_CLASS
                    + "\",\"effect\":\"pure\",\"worth\":1,\"promiseUs\":750000}";

    private final SoakPlan plan;

    ServeConfig(SoakPlan plan) {
        this.plan = plan;
    }

    /**
     * Returns the configuration of one governor.
     *
     * @param knownEndpoints endpoint list that the governor starts with, in JSON
     */
    String toJson(int governor, int listenPort, int discoveryPort, String knownEndpoints) {
        return "{\"name\":\"n"
                + governor
                + "\",\"listen\":\"127.0.0.1:"
                + listenPort
                + "\",\"discovery\":\"127.0.0.1:"
                + discoveryPort
                + "\",\"seed\":\""
                + Long.toHexString(plan.seed() + governor)
                + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1240},\"known\":"
                + knownEndpoints
                + ",\"settings\":"
                + settingsJson()
                + "}";
    }

    private String settingsJson() {
        return "{\"balancers\":"
                + plan.governors()
                + ",\"membershipMode\":\"pushed\",\"tickUs\":5000,"
                + "\"classes\":[{\"name\":\"read\",\"effect\":\"pure\",\"worth\":1,\"promiseUs\":750000},"
                + "{\"name\":\"write\",\"effect\":\"side_effect\",\"worth\":2,\"promiseUs\":800000}"
                + (plan.hasOwnZoneClass() ? OWN_ZONE_CLASS : "")
                + "],"
                + "\"zones\":[\"a\",\"b\",\"c\"],\"kinds\":[\"m1\"],\"report\":{\"how\":\"answers\",\"names\":[\"cpu_share\"]},"
                + "\"contract\":{\"coldFrom\":0.3,\"warmAfterUs\":"
                + micros(WARM_UP_MS)
                + ",\"drainGraceUs\":"
                + micros(plan.grace())
                + "},\"familyInfo\":{\"admit\":\"share\",\"proxies\":"
                + plan.proxies()
                + ",\"egressPerS\":"
                + plan.entriesPerSecond()
                + ",\"head\":"
                + SoakPlan.MESSAGE_OVERHEAD_ENTRIES
                + ",\"queueCap\":"
                + plan.backlogLimit()
                + ",\"updateCap\":"
                + plan.messageLimit()
                + (plan.hasOwnZoneClass() ? ",\"homeOnly\":[false,false,true]" : "")
                + ",\"reloadSpanUs\":10000000,\"reportEveryUs\":1000000,\"transitMaxUs\":800000},"
                + "\"ceilings\":{\"probes\":true,\"connectTimeoutUs\":250000}}";
    }

    private static long micros(double millis) {
        return Math.round(millis * 1000);
    }
}
