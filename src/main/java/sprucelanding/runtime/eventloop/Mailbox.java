package sprucelanding.runtime.eventloop;

import java.util.ArrayDeque;

/**
 * A bounded queue by which other threads hand items to a loop, in order. It takes nothing once it
 * is closed, so that an item that it took is polled by the loop or by who closes it.
 *
 * <p>Any thread may call it. The lock on the mailbox guards its fields.
 *
 * @param <T> the type of the items
 */
public final class Mailbox<T> {
    private final int capacity;

    /** Guarded by this. */
    private final ArrayDeque<T> queue = new ArrayDeque<>();

    /** Guarded by this. */
    private boolean closed;

    /** Creates an empty mailbox for at most so many items. */
    public Mailbox(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Adds an item.
     *
     * @return false if the mailbox is full or closed, and the item was not taken
     */
    public synchronized boolean offer(T item) {
        return !closed && queue.size() < capacity && queue.add(item);
    }

    /** Takes the oldest item; null if there is none. */
    public synchronized T poll() {
        return queue.poll();
    }

    /** Whether there is no item at present. */
    public synchronized boolean isEmpty() {
        return queue.isEmpty();
    }

    /** Takes no item from now on; those that it holds can still be polled. */
    public synchronized void close() {
        closed = true;
    }
}
