package sprucelanding.control.delivery;

/** A resource's name; replica is 0 but for lines, table is 0 for the route. */
public final class ResourceName {
    public static final ResourceName ROUTE = new ResourceName(ResourceType.ROUTE, 0, 0);

    private final ResourceType type;
    private final int table;
    private final long endpointId;
    private final int hash;

    public ResourceName(ResourceType type, int table, long endpointId) {
        this.type = type;
        this.table = table;
        this.endpointId = endpointId;
        this.hash = (type.ordinal() * 31 + table) * 31 + Long.hashCode(endpointId) * 0x9E3779B1;
    }

    public static ResourceName cluster(int table) {
        return new ResourceName(ResourceType.CLUSTER, table, 0);
    }

    public static ResourceName endpoints(int table) {
        return new ResourceName(ResourceType.ENDPOINTS, table, 0);
    }

    public static ResourceName entry(int table, long endpointId) {
        return new ResourceName(ResourceType.LINE, table, endpointId);
    }

    public ResourceType type() {
        return type;
    }

    public int table() {
        return table;
    }

    public long endpointId() {
        return endpointId;
    }

    @Override
    public boolean equals(Object o) {
        return o == this
                || o instanceof ResourceName name
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
