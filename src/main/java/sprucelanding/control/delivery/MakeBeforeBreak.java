package sprucelanding.control.delivery;

/**
 * The order in which resources may be sent on a stream that takes them type by type: what a
 * resource needs is acknowledged before it is sent, what uses it is gone before it is removed, and
 * the proxy has subscribed to it (Envoy's xDS documentation, "Eventual consistency
 * considerations").
 */
final class MakeBeforeBreak {
    private MakeBeforeBreak() {}

    /** Whether a cluster, a table's endpoints or the route may be sent now. */
    static boolean isSendable(ProxyStream stream, ResourceName name) {
        Subscriptions subscriptions = stream.subscriptions();
        return switch (name.type()) {
            case CLUSTER -> subscriptions.includesClusters();
            case ENDPOINTS ->
                    subscriptions.includesEndpoints(name.table())
                            && (!stream.isBoundTo(name.table())
                                    || stream.held().contains(ResourceName.cluster(name.table())));
            case LINE -> throw new IllegalArgumentException("entries are checked by table");
            case ROUTE ->
                    subscriptions.includesRoute()
                            && stream.boundTables().stream()
                                    .allMatch(table -> isInstalled(stream, table));
        };
    }

    /**
     * Whether all of a table is in force at the proxy. A table that the route uses already need not
     * wait for its newest entries.
     */
    private static boolean isInstalled(ProxyStream stream, int table) {
        if (!stream.held().hasClusterAndEndpoints(table)) {
            return false;
        }
        return stream.held().routeUses(table)
                || !stream.pending().hasEntriesOf(table)
                        && stream.unanswered().countOfType(ResourceType.LINE) == 0
                        && !stream.isUnsettled(ResourceName.endpoints(table));
    }
}
