package sprucelanding.runtime.server;

/**
 * {@code joined}: a proxy begins its stream.
 *
 * @param proxyId its number
 * @param zoneIndex number of its zone
 * @param expectedRate requests a second that it usually forwards
 * @param withoutTables whether it brings no table that a governor has ordered
 */
record JoinMessage(int proxyId, int zoneIndex, double expectedRate, boolean withoutTables) {
    /** The field that names a proxy, in all messages. */
    static final String PROXY = "sidecar";

    private static final String EXPECTED_RATE = "share";
    private static final String WITHOUT_TABLES = "standing";

    /** Proxies are numbered below {@code proxyCount}. */
    static JoinMessage parse(MessageFields fields, ControllerHost host, int proxyCount) {
        int proxyId = fields.integer(PROXY, proxyCount - 1);
        int zoneIndex = fields.zoneIndex(host);
        double expectedRate = fields.number(EXPECTED_RATE);
        boolean withoutTables = fields.flag(WITHOUT_TABLES);
        return new JoinMessage(proxyId, zoneIndex, expectedRate, withoutTables);
    }
}
