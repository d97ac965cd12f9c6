package sprucelanding.control.core;

import java.util.ArrayDeque;
import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.delivery.ResourceUpdate;

/**
 * Connection of a proxy to a governor that shares the fleet with other governors.
 *
 * <table>
 *   <caption>Transitions</caption>
 *   <tr><th>state</th><th>event</th><th>next state</th></tr>
 *   <tr><td>WAITING</td><td>a lease is granted</td><td>WRITABLE, and the core is
 *       notified of the connection</td></tr>
 *   <tr><td>WRITABLE</td><td>the lease lapses</td><td>SUSPENDED</td></tr>
 *   <tr><td>SUSPENDED</td><td>a lease is granted</td><td>WRITABLE</td></tr>
 *   <tr><td>WRITABLE, SUSPENDED</td><td>the stream ends or is replaced</td><td>WAITING, and the
 *       core is notified of the disconnection</td></tr>
 *   <tr><td>any</td><td>this governor closes the stream</td><td>CLOSED</td></tr>
 * </table>
 *
 * <p>Called from the core's thread; times are ms on the host's clock.
 */
final class LeasedConnection {
    /**
     * Maximum number of updates that may wait for a lease. The stream is closed when there are
     * more.
     */
    private static final int MAX_PENDING_UPDATES = 64;

    private enum State {
        /** This governor does not own the proxy, and the core does not know the connection. */
        WAITING,
        /** This governor owns the proxy, and updates may be written. */
        WRITABLE,
        /** The core knows the connection but the lease has lapsed; updates wait. */
        SUSPENDED,
        /** This governor has closed the stream. */
        CLOSED
    }

    private final long proxyKey;
    private final String name;
    private final ProxyStream stream;
    private final ProxyConnection.ProxyParameters parameters;
    private final ArrayDeque<ResourceUpdate> pendingUpdates = new ArrayDeque<>();
    private State state = State.WAITING;

    LeasedConnection(
            long proxyKey,
            String name,
            ProxyStream stream,
            ProxyConnection.ProxyParameters parameters) {
        this.proxyKey = proxyKey;
        this.name = name;
        this.stream = stream;
        this.parameters = parameters;
    }

    /** Returns the proxy's key, by which the governors agree on the proxy's owner. */
    long proxyKey() {
        return proxyKey;
    }

    String name() {
        return name;
    }

    ProxyStream stream() {
        return stream;
    }

    ProxyConnection.ProxyParameters parameters() {
        return parameters;
    }

    /** Returns whether this governor owns the proxy and the lease is not known to have lapsed. */
    boolean isWritable() {
        return state == State.WRITABLE;
    }

    boolean isClosed() {
        return state == State.CLOSED;
    }

    /** Returns whether the core knows the connection. */
    boolean isAdmitted() {
        return state == State.WRITABLE || state == State.SUSPENDED;
    }

    /**
     * Permits writes under a lease. The connection must not be closed.
     *
     * @param until end of the lease; each write has to be sent before that
     * @param epoch epoch under which this governor owns the proxy
     */
    void allowWrites(double until, long epoch) {
        state = State.WRITABLE;
        stream.grantLease(until, epoch);
    }

    /**
     * Extends the lease under the same epoch.
     *
     * @param until end of the lease; each write has to be sent before that
     */
    void renewLease(double until) {
        stream.grantLease(until, stream.lease().epoch());
    }

    /** Suspends writes because the lease has lapsed. Updates wait for the next lease. */
    void suspendWrites() {
        if (state == State.WRITABLE) {
            state = State.SUSPENDED;
        }
        stream.revokeLease();
    }

    /** Ends writes on this connection and drops waiting updates. */
    void stopWriting() {
        if (state != State.CLOSED) {
            state = State.WAITING;
        }
        pendingUpdates.clear();
        stream.revokeLease();
    }

    /** Marks the connection as closed by this governor and ends writes. */
    void close() {
        state = State.CLOSED;
        stopWriting();
    }

    /** Returns whether an update may be written now without overtaking a waiting update. */
    boolean permitsWriteAt(double now) {
        return isWritable() && stream.lease().isValidAt(now) && pendingUpdates.isEmpty();
    }

    /**
     * Queues an update until the next lease.
     *
     * @return false if the queue is full
     */
    boolean enqueue(ResourceUpdate update) {
        return pendingUpdates.size() < MAX_PENDING_UPDATES && pendingUpdates.add(update);
    }

    /** Removes and returns the next waiting update; null if there is none. */
    ResourceUpdate pollPending() {
        return pendingUpdates.poll();
    }
}
