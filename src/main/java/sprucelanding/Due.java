package sprucelanding;

/** One due time: to probe a replica, or (without one) to ask for the list. */
record Due(double at, long order, Replica replica) implements Comparable<Due> {
    @Override
    public int compareTo(Due other) {
        int byTime = Double.compare(at, other.at);
        return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
}
