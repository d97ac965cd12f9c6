package sprucelanding.runtime.eventloop;

import java.util.ArrayDeque;

/**
 * A bounded FIFO queue through which other threads pass items to a loop. A closed mailbox accepts
 * no items, so that every accepted item can be polled, by the loop or by the closing thread.
 *
 * <p>The class is thread-safe. The monitor of the mailbox guards its fields.
 *
 * @param <T> the type of the items
 */
public final class Mailbox<T> {
    private final int capacity;

    /** The lock on this object guards the queue. */
    private final ArrayDeque<T> queue = new ArrayDeque<>();

    /** The lock on this object guards the flag. */
    private boolean isClosed;

    /** Creates an empty mailbox that holds at most {@code capacity} items. */
    public Mailbox(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Adds an item.
     *
     * @return false if the item was not accepted because the mailbox is full or closed
     */
    public synchronized boolean offer(T item) {
        return !isClosed && queue.size() < capacity && queue.add(item);
    }

    /** Removes and returns the oldest item; null if the mailbox is empty. */
    public synchronized T poll() {
        return queue.poll();
    }

    /** Returns whether the mailbox holds no item at present. */
    public synchronized boolean isEmpty() {
        return queue.isEmpty();
    }

    /** Closes the mailbox for new items. The items in the mailbox can still be polled. */
    public synchronized void close() {
        isClosed = true;
    }
}
