package sprucelanding.runtime.eventloop;

import java.util.ArrayDeque;

/**
 * What other threads hand to a loop: bounded, in order, and nothing is taken once it is closed. So
 * a true from offer means that the step is taken by the loop or by who closes it, never lost in
 * between.
 */
public final class Mailbox<T> {
    private final int capacity;
    private final ArrayDeque<T> queue = new ArrayDeque<>();
    private boolean closed;

    public Mailbox(int capacity) {
        this.capacity = capacity;
    }

    /** False if it is full or closed: nothing was taken. */
    public synchronized boolean offer(T item) {
        return !closed && queue.size() < capacity && queue.add(item);
    }

    /** The oldest, or null. */
    public synchronized T poll() {
        return queue.poll();
    }

    public synchronized boolean isEmpty() {
        return queue.isEmpty();
    }

    /** From now on nothing is taken; what was taken before can still be polled. */
    public synchronized void close() {
        closed = true;
    }
}
