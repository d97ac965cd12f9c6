package sprucelanding.control.decision;

/**
 * A scheduled health check of an endpoint, or a scheduled poll of the endpoint list.
 *
 * @param dueAt time at which the check is due, ms
 * @param sequence order among checks that are due at the same time
 * @param endpoint the endpoint to check; null for a poll of the endpoint list
 */
record ScheduledCheck(double dueAt, long sequence, Endpoint endpoint)
        implements Comparable<ScheduledCheck> {
    boolean isListPoll() {
        return endpoint == null;
    }

    @Override
    public int compareTo(ScheduledCheck other) {
        int byTime = Double.compare(dueAt, other.dueAt);
        return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
}
