package sprucelanding.runtime.server;

/**
 * The message {@code joined}, by which a proxy begins its stream.
 *
 * @param proxyId the proxy's number
 * @param zoneIndex the number of the proxy's zone
 * @param expectedRate the requests a second that the proxy usually forwards
 * @param withoutTables whether the proxy holds no table that a governor has ordered
 */
record JoinMessage(int proxyId, int zoneIndex, double expectedRate, boolean withoutTables) {
    /** The field that holds a proxy's number in all messages. */
    static final String PROXY = "sidecar";

    private static final String EXPECTED_RATE = "share";
    private static final String WITHOUT_TABLES = "standing";

    /**
     * Parses a join message.
     *
     * @param proxyCount the number of proxies; a proxy's number is below it
     */
    static JoinMessage parse(MessageFields fields, SiteNames site, int proxyCount) {
        int proxyId = fields.integer(PROXY, proxyCount - 1);
        int zoneIndex = fields.zoneIndex(site);
        double expectedRate = fields.number(EXPECTED_RATE);
        boolean withoutTables = fields.flag(WITHOUT_TABLES);
        return new JoinMessage(proxyId, zoneIndex, expectedRate, withoutTables);
    }
}
