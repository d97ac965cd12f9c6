package sprucelanding.control.delivery;

/**
 * Make-before-break rules: the order in which resources may be sent on a stream that takes them
 * type by type.
 *
 * <p>A resource is sent only after the resources on which it depends have been acknowledged and
 * only if the proxy has subscribed to it. A resource is removed only after the resources that use
 * it have been removed. See "Eventual consistency considerations" in Envoy's xDS documentation.
 */
final class MakeBeforeBreak {
    private MakeBeforeBreak() {}

    /** Returns whether a cluster, a table's endpoints or the route may be sent now. */
    static boolean isSendable(ProxyStream stream, ResourceName name) {
        Subscriptions subscriptions = stream.subscriptions();
        return switch (name.type()) {
            case CLUSTER -> subscriptions.includesClusters();
            case ENDPOINTS ->
                    subscriptions.includesEndpoints(name.table())
                            && (!stream.isBoundTo(name.table())
                                    || stream.installed()
                                            .contains(ResourceName.cluster(name.table())));
            case LINE ->
                    throw new IllegalArgumentException(
                            "expected a cluster, endpoints or the route, got the entry " + name);
            case ROUTE ->
                    subscriptions.includesRoute()
                            && stream.boundTables().stream()
                                    .allMatch(table -> isInstalled(stream, table));
        };
    }

    /**
     * Returns whether a complete table is in force at the proxy. A table that the route already
     * uses does not have to wait for its latest entries.
     */
    private static boolean isInstalled(ProxyStream stream, int table) {
        if (!stream.installed().hasClusterAndEndpoints(table)) {
            return false;
        }
        return stream.installed().routeUses(table)
                || !stream.pending().hasEntriesOf(table)
                        && stream.unanswered().countOfType(ResourceType.LINE) == 0
                        && !stream.isUnsettled(ResourceName.endpoints(table));
    }
}
