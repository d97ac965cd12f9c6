package sprucelanding.front;

import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/**
 * A blocking way to submit notifications to the core, whose queue is bounded. A full queue blocks
 * the calling transport thread, and thereby the peers that this thread reads from. The core is
 * never blocked. Thread-safe.
 */
public final class CoreNotifier implements AutoCloseable {
    private static final long RETRY_INTERVAL_NANOS = 1_000_000;

    private volatile boolean closed;

    /**
     * Repeats a notification until the core accepts it or this notifier is closed.
     *
     * @param notification submits the notification and returns whether the core accepted it; called
     *     once per millisecond
     */
    public void awaitAccepted(BooleanSupplier notification) {
        while (!notification.getAsBoolean() && !closed) {
            LockSupport.parkNanos(RETRY_INTERVAL_NANOS);
        }
    }

    /** Ends all waiting; notifications that the core has not accepted are dropped. */
    @Override
    public void close() {
        closed = true;
    }
}
