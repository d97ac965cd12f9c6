package sprucelanding.front;

import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/**
 * Hands notifications to the core, which accepts a bounded number at a time. Waiting holds up the
 * calling transport thread, and so the peers that it reads from, but never the core. Thread-safe.
 */
public final class CoreNotifier implements AutoCloseable {
    private static final long RETRY_INTERVAL_NANOS = 1_000_000;

    private volatile boolean closed;

    /**
     * Repeats a notification until the core accepts it or this notifier is closed.
     *
     * @param notification true once it was accepted; called once per millisecond
     */
    public void awaitAccepted(BooleanSupplier notification) {
        while (!notification.getAsBoolean() && !closed) {
            LockSupport.parkNanos(RETRY_INTERVAL_NANOS);
        }
    }

    /** Ends all waiting: notifications that weren't accepted are dropped. */
    @Override
    public void close() {
        closed = true;
    }
}
