package sprucelanding.control.decision;

import java.util.Collection;

/**
 * Determines by when removals must be ordered, so that they are in force within the drain grace:
 * from the deadlines, the time that queued entries need to leave the channel, and the transit time.
 * Times are in ms, costs in table entries, rates in entries per ms.
 */
final class RemovalTiming {
    private final EventTime time;
    private final MessagePacing pacing;
    private double maxTransitTime = EventTime.UPDATE_INTERVAL_MS;
    private double drainGrace = Double.POSITIVE_INFINITY;

    /** Earliest time by which the removals booked last must be in force. */
    private double removalDeadline = Double.POSITIVE_INFINITY;

    /** Entries queued after the last booking, if the channel drains at the measured rate. */
    private double queueAtBooking;

    private double lastBookingTime = EventTime.NEVER;

    RemovalTiming(EventTime time, MessagePacing pacing) {
        this.time = time;
        this.pacing = pacing;
    }

    /**
     * Sets the times that bound a removal.
     *
     * @param maxTransitTimeMs longest time that a message takes to reach a proxy and be applied
     * @param grace time within which proxies must stop sending to a removed endpoint; infinite if
     *     unknown
     */
    void configure(double maxTransitTimeMs, double grace) {
        maxTransitTime = maxTransitTimeMs;
        drainGrace = grace;
    }

    double maxTransitTime() {
        return maxTransitTime;
    }

    boolean hasGrace() {
        return drainGrace < Double.POSITIVE_INFINITY;
    }

    /**
     * Updates the time within which any removal must be ordered.
     *
     * @param cost cost of one removal at all proxies
     */
    void updateRemovalWait(double cost, double rate) {
        pacing.setRemovalWait(drainGrace, cost / rate + maxTransitTime);
    }

    /** Records that updates of the given cost have been queued. */
    void booked(double cost, double rate) {
        if (lastBookingTime != time.now()) {
            removalDeadline = Double.POSITIVE_INFINITY;
        }
        queueAtBooking = queue(rate) + cost;
        lastBookingTime = time.now();
    }

    /** Records that the updates booked last contain a removal at the given proxies. */
    void removalBooked(Collection<Proxy> proxies, double removedAt) {
        removalDeadline = Math.min(removalDeadline, deadline(proxies, removedAt));
    }

    /**
     * Returns whether the proxies may be sent messages with removals now, as far as the limit of
     * messages is concerned.
     *
     * @param removedAt time since when the oldest removal that waits is required; infinite if the
     *     updates that wait have no deadline
     * @param cost cost of all updates that wait and share the messages
     */
    boolean allows(Collection<Proxy> proxies, double removedAt, double cost, double rate) {
        double latest = latestTime(deadline(proxies, removedAt), cost, rate);
        double queue = queue(rate);
        double queueEmptyAt = queue > 0 ? time.now() + queue / rate : EventTime.NEVER;
        boolean isAllowed = true;
        for (Proxy proxy : proxies) {
            isAllowed &= pacing.allowsRemoval(proxy, queueEmptyAt, latest);
        }
        return isAllowed;
    }

    /**
     * Returns whether updates of the given cost leave the removals that are sent at this time in
     * time. All updates of one time share messages, so they delay one another.
     */
    boolean keepsRemovalsInTime(double cost, double rate) {
        return lastBookingTime != time.now()
                || removalDeadline == Double.POSITIVE_INFINITY
                || time.now() <= latestTime(removalDeadline, cost, rate);
    }

    private double latestTime(double deadline, double cost, double rate) {
        return pacing.latestTime(deadline, (queue(rate) + cost) / rate + maxTransitTime);
    }

    /** Returns the earliest time by which a removal must be in force at one of the proxies. */
    private double deadline(Collection<Proxy> proxies, double removedAt) {
        double deadline = Double.POSITIVE_INFINITY;
        for (Proxy proxy : proxies) {
            deadline = Math.min(deadline, Math.max(removedAt, proxy.joinedAt()) + drainGrace);
        }
        return deadline;
    }

    /** Returns the number of queued entries if the channel drains at the given rate. */
    private double queue(double rate) {
        return Math.max(0, queueAtBooking - (time.now() - lastBookingTime) * rate);
    }
}
