package sprucelanding.control.decision;

/** One due time: to probe a replica, or (without one) to ask for the list. */
record ScheduledCheck(double at, long order, Endpoint replica)
        implements Comparable<ScheduledCheck> {
    @Override
    public int compareTo(ScheduledCheck other) {
        int byTime = Double.compare(at, other.at);
        return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
}
