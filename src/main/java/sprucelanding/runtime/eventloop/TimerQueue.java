package sprucelanding.runtime.eventloop;

import java.util.PriorityQueue;

/**
 * A queue of a loop's timers, ordered by due time. Timers with the same due time run in the order
 * in which they were added. The class is not synchronized.
 */
final class TimerQueue {
    private final PriorityQueue<EventLoop.Timer> timers = new PriorityQueue<>(TimerQueue::compare);
    private long nextSequence;

    /** Adds a timer that is due at {@code dueMillis}. */
    EventLoop.Timer add(double dueMillis, Runnable action) {
        EventLoop.Timer timer = new EventLoop.Timer(dueMillis, nextSequence++, action);
        timers.add(timer);
        return timer;
    }

    /** Returns the time until the next timer is due, ms; the default if there is no timer. */
    double untilNextDue(double defaultMillis) {
        EventLoop.Timer next = timers.peek();
        return next == null ? defaultMillis : next.dueMillis() - EventLoop.nowMillis();
    }

    /** Removes and returns the next timer if it is due at {@code nowMillis}; otherwise null. */
    EventLoop.Timer pollDue(double nowMillis) {
        EventLoop.Timer next = timers.peek();
        return next != null && next.dueMillis() <= nowMillis ? timers.poll() : null;
    }

    private static int compare(EventLoop.Timer left, EventLoop.Timer right) {
        int byTime = Double.compare(left.dueMillis(), right.dueMillis());
        return byTime != 0 ? byTime : Long.compare(left.sequence(), right.sequence());
    }
}
