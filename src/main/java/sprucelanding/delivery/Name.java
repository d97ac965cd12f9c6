package sprucelanding.delivery;

/** A resource's name; replica is 0 but for lines, table is 0 for the route. */
public record Name(Kind kind, int table, long replica) {
    public static final Name ROUTE = new Name(Kind.ROUTE, 0, 0);

    public static Name cluster(int table) {
        return new Name(Kind.CLUSTER, table, 0);
    }

    public static Name endpoints(int table) {
        return new Name(Kind.ENDPOINTS, table, 0);
    }

    public static Name line(int table, long replica) {
        return new Name(Kind.LINE, table, replica);
    }
}
