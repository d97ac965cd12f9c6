package sprucelanding.runtime.server;

/**
 * The messages that the peers send in the training run for the class-data archive, and the
 * configuration of its governor.
 */
final class TrainingMessages {
    /** Input that causes a connection to be rejected. */
    static final String UNREADABLE = "noise\n";

    /** A proxy's messages: it joins, reports its demand and sends a message that is dropped. */
    static final String PROXY =
            "{\"msg\":\"ping\"}\n"
                    + "{\"msg\":\"joined\",\"sidecar\":0,\"az\":\"z\",\"share\":9.5,\"standing\":true}\n"
                    + "{\"msg\":\"usage\",\"sidecar\":0,\"kind\":\"one\",\"n\":19,\"bad\":0,\"window\":1000.0}\n"
                    + "{}\n";

    /** A collector's messages: it reports on an endpoint and on demand. */
    static final String COLLECTOR =
            "{\"msg\":\"collector\",\"az\":\"z\"}\n"
                    + "{\"msg\":\"heard\",\"az\":\"z\",\"host\":\"a2\",\"n\":9,\"bad\":1,"
                    + "\"avg\":41.7,\"window\":1000.0,\"report\":{\"util\":0.61}}\n"
                    + "{\"msg\":\"usage\",\"sidecar\":1,\"kind\":\"two\",\"n\":5,\"bad\":0,\"window\":1000.0}\n";

    private static final String SETTINGS =
            "{\"classes\":[{\"name\":\"one\",\"effect\":\"pure\",\"worth\":1,\"promiseUs\":500000},"
                    + "{\"name\":\"two\",\"promiseUs\":500000}],\"zones\":[\"z\"],\"kinds\":[\"k\"],"
                    + "\"tickUs\":1000,\"report\":{\"how\":\"answers\",\"names\":[\"util\"]},"
                    + "\"contract\":{\"coldFrom\":0.3,\"warmAfterUs\":1000000},"
                    + "\"familyInfo\":{\"admit\":\"share\",\"proxies\":2,\"egressPerS\":3000,\"head\":6,"
                    + "\"queueCap\":5000,\"reportEveryUs\":300000},\"ceilings\":{\"probes\":true}}";

    /** An address on which nothing listens. */
    private static final String CLOSED_ADDRESS = "127.0.0.1:9";

    private TrainingMessages() {}

    /**
     * Returns the governor's configuration.
     *
     * @param port the port that the governor listens on
     * @param discovery the address of discovery
     * @param endpoint the address of all known endpoints
     */
    static String configuration(int port, String discovery, String endpoint) {
        String known =
                list(
                        1,
                        "true",
                        entry("a1", endpoint, "ready"),
                        entry("a2", endpoint, "ready"),
                        entry("a3", endpoint, "ready"));
        return "{\"name\":\"training\",\"listen\":\"127.0.0.1:"
                + port
                + "\",\"discovery\":\""
                + discovery
                + "\",\"seed\":\"1\",\"limits\":{\"sockets\":256},\"known\":"
                + known
                + ",\"settings\":"
                + SETTINGS
                + "}";
    }

    /** Returns discovery's response, which holds a full list and a change of the list. */
    static String discoveryResponse() {
        return "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
                + chunk(
                        list(
                                2,
                                "true",
                                entry("a1", CLOSED_ADDRESS, "ready"),
                                entry("a2", CLOSED_ADDRESS, "ready")))
                + chunk(list(3, "false", entry("a1", CLOSED_ADDRESS, "draining")));
    }

    /**
     * Returns a proxy's acknowledgement of the last update that requests one; an empty text if none
     * does.
     */
    static String acknowledgementOf(String updates) {
        String field = "\"nonce_out\":";
        int start = updates.lastIndexOf(field);
        if (start < 0) {
            return "";
        }
        String version = updates.substring(start + field.length()).split("}")[0];
        return "{\"msg\":\"applied\",\"sidecar\":0,\"version\":" + version + ",\"lag_ms\":9.5}\n";
    }

    private static String entry(String uid, String endpoint, String state) {
        return "{\"uid\":\""
                + uid
                + "\",\"endpoint\":\""
                + endpoint
                + "\",\"az\":\"z\",\"model\":\"k\",\"pod_group\":0,\"state\":\""
                + state
                + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }

    private static String list(int revision, String full, String... entries) {
        return "{\"rev\":"
                + revision
                + ",\"all\":"
                + full
                + ",\"targets\":["
                + String.join(",", entries)
                + "]}";
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length() + 1) + "\r\n" + text + "\n\r\n";
    }
}
