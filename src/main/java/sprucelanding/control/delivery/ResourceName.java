package sprucelanding.control.delivery;

/**
 * Name of a resource. The hash code and the order of types decide the order of names in collections
 * and so on the wire: neither may change.
 */
public final class ResourceName {
    /** The one route configuration; its table is 0. */
    public static final ResourceName ROUTE = new ResourceName(ResourceType.ROUTE, 0, 0);

    private static final int HASH_FACTOR = 31;
    private static final int ENDPOINT_HASH_FACTOR = 0x9E3779B1; // 2^32 divided by the golden ratio

    private final ResourceType type;
    private final int table;
    private final long endpointId;
    private final int hash;

    /**
     * Creates a name.
     *
     * @param table 0 for the route
     * @param endpointId 0 except for entries
     */
    public ResourceName(ResourceType type, int table, long endpointId) {
        this.type = type;
        this.table = table;
        this.endpointId = endpointId;
        this.hash =
                (type.ordinal() * HASH_FACTOR + table) * HASH_FACTOR
                        + Long.hashCode(endpointId) * ENDPOINT_HASH_FACTOR;
    }

    /** The name of a table's cluster. */
    public static ResourceName cluster(int table) {
        return new ResourceName(ResourceType.CLUSTER, table, 0);
    }

    /** The name of a table's endpoints. */
    public static ResourceName endpoints(int table) {
        return new ResourceName(ResourceType.ENDPOINTS, table, 0);
    }

    /** The name of an endpoint's entry in a table. */
    public static ResourceName entry(int table, long endpointId) {
        return new ResourceName(ResourceType.LINE, table, endpointId);
    }

    /** The type of the resource. */
    public ResourceType type() {
        return type;
    }

    /** The table that the resource belongs to; 0 for the route. */
    public int table() {
        return table;
    }

    /** The endpoint of an entry; else 0. */
    public long endpointId() {
        return endpointId;
    }

    @Override
    public boolean equals(Object other) {
        return other == this
                || other instanceof ResourceName name
                        && name.hash == hash
                        && name.type == type
                        && name.table == table
                        && name.endpointId == endpointId;
    }

    @Override
    public int hashCode() {
        return hash;
    }

    @Override
    public String toString() {
        return type + " t" + table + (endpointId == 0 ? "" : "/" + endpointId);
    }
}
