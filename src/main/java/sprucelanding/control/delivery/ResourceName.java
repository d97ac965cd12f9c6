package sprucelanding.control.delivery;

/**
 * Name of a resource. The hash code and the order of the types determine the iteration order of
 * hash collections of names, and through it the order of names on the wire. Neither may change.
 */
public final class ResourceName {
    /** Name of the single route configuration; its table is 0. */
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
     * @param table number of the table; 0 for the route
     * @param endpointId id of the endpoint for an entry; 0 for all other types
     */
    public ResourceName(ResourceType type, int table, long endpointId) {
        this.type = type;
        this.table = table;
        this.endpointId = endpointId;
        this.hash =
                (type.ordinal() * HASH_FACTOR + table) * HASH_FACTOR
                        + Long.hashCode(endpointId) * ENDPOINT_HASH_FACTOR;
    }

    /** Returns the name of a table's cluster. */
    public static ResourceName cluster(int table) {
        return new ResourceName(ResourceType.CLUSTER, table, 0);
    }

    /** Returns the name of a table's endpoints. */
    public static ResourceName endpoints(int table) {
        return new ResourceName(ResourceType.ENDPOINTS, table, 0);
    }

    /** Returns the name of an endpoint's entry in a table. */
    public static ResourceName entry(int table, long endpointId) {
        return new ResourceName(ResourceType.LINE, table, endpointId);
    }

    /** Returns the type of the resource. */
    public ResourceType type() {
        return type;
    }

    /** Returns the table that the resource belongs to; 0 for the route. */
    public int table() {
        return table;
    }

    /** Returns the endpoint's id for an entry; 0 for all other types. */
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
