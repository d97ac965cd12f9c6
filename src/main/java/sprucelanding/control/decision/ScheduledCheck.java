package sprucelanding.control.decision;

/**
 * A health check that is due at a time, or a poll of the endpoint list.
 *
 * @param at ms
 * @param sequence orders those that are due at the same time
 * @param endpoint the endpoint to check; null for a poll of the list
 */
record ScheduledCheck(double at, long sequence, Endpoint endpoint)
        implements Comparable<ScheduledCheck> {
    boolean isListPoll() {
        return endpoint == null;
    }

    @Override
    public int compareTo(ScheduledCheck other) {
        int byTime = Double.compare(at, other.at);
        return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
}
