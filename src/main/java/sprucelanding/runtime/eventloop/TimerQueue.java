package sprucelanding.runtime.eventloop;

import java.util.PriorityQueue;

/**
 * The timers of a loop, by due time; those due at the same time fire in the order in which they
 * were set. Not synchronized.
 */
final class TimerQueue {
    private final PriorityQueue<EventLoop.Timer> timers = new PriorityQueue<>(TimerQueue::compare);
    private long nextSequence;

    /** Adds a timer that is due at that time, ms. */
    EventLoop.Timer add(double dueMillis, Runnable action) {
        EventLoop.Timer timer = new EventLoop.Timer(dueMillis, nextSequence++, action);
        timers.add(timer);
        return timer;
    }

    /** Time until the next timer is due, ms; the given one if there is none. */
    double untilNextDue(double defaultMillis) {
        EventLoop.Timer next = timers.peek();
        return next == null ? defaultMillis : next.dueMillis() - EventLoop.nowMillis();
    }

    /** Takes the next timer if it is due by that time, ms; otherwise null. */
    EventLoop.Timer pollDue(double nowMillis) {
        EventLoop.Timer next = timers.peek();
        return next != null && next.dueMillis() <= nowMillis ? timers.poll() : null;
    }

    private static int compare(EventLoop.Timer left, EventLoop.Timer right) {
        int byTime = Double.compare(left.dueMillis(), right.dueMillis());
        return byTime != 0 ? byTime : Long.compare(left.sequence(), right.sequence());
    }
}
