package sprucelanding.control.decision;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Tracks every required removal: which proxy may still send to which removed endpoint, the deadline
 * of the removal, whether an order that settles the removal has been sent, and whether the proxy
 * has acknowledged that order.
 *
 * <p>A proxy that has just connected holds tables that this governor did not write. These tables
 * may contain any removed endpoint, so the proxy is <em>unbound</em> until a complete set of tables
 * has been sent to the proxy and acknowledged. For a bound proxy, a removal is required for each
 * removed endpoint in its tables. The deadline of a removal is the grace after the later of the
 * endpoint's removal and the proxy's joining.
 *
 * <p>Orders are identified by the number of the message that carries them. Messages to a proxy are
 * delivered in order, so an acknowledgement covers all earlier messages. A removal is settled only
 * by an acknowledgement, by the end of the proxy's stream, or by the endpoint's return to the list.
 * Times are in ms.
 */
final class DrainTracker {
    /** The message number of a removal or bind for which no order has been sent yet. */
    private static final long NOT_ORDERED = -1;

    /** The reason for which a removal is past its deadline. */
    public enum Cause {
        /** The proxy still uses tables that were not written by this governor. */
        UNBOUND,
        /** A table of this governor contains the endpoint, and no removal order has been sent. */
        NOT_ORDERED,
        /** The order has been sent, but the proxy has not acknowledged it. */
        NOT_ACKNOWLEDGED
    }

    /**
     * A removal that was not acknowledged by its deadline. For an unbound proxy, the endpoint is
     * one of the endpoints that its tables may contain.
     */
    public record OverdueRemoval(int proxy, long endpoint, double deadline, Cause cause) {}

    /** A removal that one bound proxy has not acknowledged yet. */
    private static final class PendingRemoval {
        final double deadline;

        /** Number of the message with the removal order. */
        long orderMessage = NOT_ORDERED;

        boolean isReported;

        PendingRemoval(double deadline) {
            this.deadline = deadline;
        }
    }

    /** The state of a joined proxy. */
    private static final class ProxyState {
        final double joinedAt;

        /** Number of the first message that can reach the proxy on this stream. */
        final long firstMessage;

        /** Number of the message that completed the set of tables of this governor. */
        long bindMessage = NOT_ORDERED;

        /** Whether the proxy has acknowledged a complete set of tables of this governor. */
        boolean isBound;

        /** Number of the last message that the proxy has acknowledged. */
        long acknowledgedMessage = NOT_ORDERED;

        /** Whether an overdue removal of the proxy has been reported while it was unbound. */
        boolean isReported;

        final Map<Long, PendingRemoval> removals = new LinkedHashMap<>(2);

        ProxyState(double joinedAt, long firstMessage) {
            this.joinedAt = joinedAt;
            this.firstMessage = firstMessage;
        }
    }

    /** An endpoint that is draining or gone. */
    private static final class RemovedEndpoint {
        final double removedAt;

        /** Number of the last message that ejected the endpoint from the tables of all proxies. */
        long ejectionMessage = NOT_ORDERED;

        RemovedEndpoint(double removedAt) {
            this.removedAt = removedAt;
        }
    }

    private double grace;
    private final Map<Integer, ProxyState> proxies = new TreeMap<>();

    /** The removed endpoints by identifier, in the order of their removal. */
    private final Map<Long, RemovedEndpoint> removedEndpoints = new LinkedHashMap<>();

    /**
     * Whether some endpoint was removed so long ago that it has been forgotten. Tables of other
     * governors may still contain such an endpoint.
     */
    private boolean hasForgottenEndpoints;

    private long overdueRemovals;

    /**
     * Creates a tracker.
     *
     * @param grace time within which a proxy must stop sending to a removed endpoint, ms
     */
    public DrainTracker(double grace) {
        this.grace = grace;
    }

    /** Sets the grace, ms. The method must be called before anything is tracked. */
    void setGrace(double grace) {
        this.grace = grace;
    }

    /** Records that an endpoint is draining or gone, unless it has been recorded already. */
    public void endpointRemoved(long endpoint, double now) {
        removedEndpoints.computeIfAbsent(endpoint, x -> new RemovedEndpoint(now));
    }

    /** Records that an endpoint is available again. No removal of the endpoint is required then. */
    public void endpointRestored(long endpoint) {
        if (removedEndpoints.remove(endpoint) != null) {
            proxies.values().forEach(state -> state.removals.remove(endpoint));
        }
    }

    /** Forgets a removed endpoint, which tables of other governors may still contain. */
    public void endpointForgotten(long endpoint) {
        hasForgottenEndpoints |= removedEndpoints.remove(endpoint) != null;
    }

    /**
     * Records that a stream of a proxy has started. The state of an earlier stream is discarded.
     *
     * @param nextMessage number of the next message
     */
    public void proxyJoined(int proxy, double now, long nextMessage) {
        proxies.put(proxy, new ProxyState(now, nextMessage));
    }

    /**
     * Records that the stream of a proxy has ended. Its removals become the responsibility of the
     * next governor of the proxy.
     */
    public void proxyLeft(int proxy) {
        proxies.remove(proxy);
    }

    /**
     * Records that a table of the proxy contains a removed endpoint. The method has no effect if
     * the endpoint is not removed.
     */
    public void removalRequired(int proxy, long endpoint) {
        ProxyState state = proxies.get(proxy);
        RemovedEndpoint removed = removedEndpoints.get(endpoint);
        if (state != null && removed != null) {
            state.removals.computeIfAbsent(
                    endpoint, x -> new PendingRemoval(deadline(state, removed)));
        }
    }

    /** Records that a message removes the endpoint from all tables of the proxy. */
    public void removalOrdered(int proxy, long endpoint, long message) {
        ProxyState state = proxies.get(proxy);
        PendingRemoval removal = state == null ? null : state.removals.get(endpoint);
        if (removal != null && removal.orderMessage == NOT_ORDERED) {
            removal.orderMessage = message;
        }
    }

    /** Records that a message ejects the endpoint from every table of all joined proxies. */
    public void ejectedEverywhere(long endpoint, long message) {
        RemovedEndpoint removed = removedEndpoints.get(endpoint);
        if (removed != null) {
            removed.ejectionMessage = message;
            proxies.keySet().forEach(proxy -> removalOrdered(proxy, endpoint, message));
        }
    }

    /**
     * Records that a message completes a set of new tables. The proxy uses none of its earlier
     * tables after that message.
     */
    public void tablesCompleted(int proxy, long message) {
        ProxyState state = proxies.get(proxy);
        if (state != null) {
            state.bindMessage = state.isBound ? state.bindMessage : message;
            state.removals.keySet().forEach(endpoint -> removalOrdered(proxy, endpoint, message));
        }
    }

    /** Records that the proxy has applied a message and all messages before it. */
    public void acknowledged(int proxy, long message) {
        ProxyState state = proxies.get(proxy);
        if (state != null) {
            state.acknowledgedMessage = Math.max(state.acknowledgedMessage, message);
            state.isBound |= state.bindMessage != NOT_ORDERED && state.bindMessage <= message;
            state.removals
                    .values()
                    .removeIf(r -> r.orderMessage != NOT_ORDERED && r.orderMessage <= message);
        }
    }

    /**
     * Returns the time by which a proxy without tables of this governor must be bound, ms; infinite
     * if no endpoint that its tables may contain has been removed.
     */
    public double bindDeadline(int proxy) {
        ProxyState state = proxies.get(proxy);
        if (state == null || state.bindMessage != NOT_ORDERED) {
            return Double.POSITIVE_INFINITY;
        }
        if (hasForgottenEndpoints) {
            return state.joinedAt + grace;
        }
        RemovedEndpoint first = firstNotEjected(state);
        return first == null ? Double.POSITIVE_INFINITY : deadline(state, first);
    }

    /** Returns the number of required removals for which no order has been sent. */
    public int removalsNotOrdered() {
        int count = 0;
        for (ProxyState state : proxies.values()) {
            for (PendingRemoval removal : state.removals.values()) {
                count += removal.orderMessage == NOT_ORDERED ? 1 : 0;
            }
        }
        return count;
    }

    /** Returns the number of proxies that may still hold tables not written by this governor. */
    public int unboundProxies() {
        int count = 0;
        for (ProxyState state : proxies.values()) {
            count += state.isBound ? 0 : 1;
        }
        return count;
    }

    /** Reports each removal that is past its deadline. Each removal is reported once. */
    public void reportOverdue(double now, Consumer<OverdueRemoval> report) {
        proxies.forEach(
                (proxy, state) -> {
                    reportOverdueUnbound(proxy, state, now, report);
                    state.removals.forEach(
                            (endpoint, removal) -> {
                                if (!removal.isReported && removal.deadline < now) {
                                    removal.isReported = true;
                                    overdueRemovals++;
                                    boolean isOrdered = removal.orderMessage != NOT_ORDERED;
                                    report.accept(
                                            new OverdueRemoval(
                                                    proxy,
                                                    endpoint,
                                                    removal.deadline,
                                                    isOrdered
                                                            ? Cause.NOT_ACKNOWLEDGED
                                                            : Cause.NOT_ORDERED));
                                }
                            });
                });
    }

    private void reportOverdueUnbound(
            int proxy, ProxyState state, double now, Consumer<OverdueRemoval> report) {
        if (state.isBound || state.isReported || state.joinedAt + grace >= now) {
            return;
        }
        for (Map.Entry<Long, RemovedEndpoint> entry : removedEndpoints.entrySet()) {
            RemovedEndpoint endpoint = entry.getValue();
            boolean isSettled =
                    isEjectedFor(state, endpoint)
                            && endpoint.ejectionMessage <= state.acknowledgedMessage;
            if (!isSettled && deadline(state, endpoint) < now) {
                state.isReported = true;
                overdueRemovals++;
                boolean isOrdered =
                        state.bindMessage != NOT_ORDERED || isEjectedFor(state, endpoint);
                report.accept(
                        new OverdueRemoval(
                                proxy,
                                entry.getKey(),
                                deadline(state, endpoint),
                                isOrdered ? Cause.NOT_ACKNOWLEDGED : Cause.UNBOUND));
                return;
            }
        }
    }

    /** Returns the number of removals so far that were not acknowledged by their deadline. */
    public long overdueRemovals() {
        return overdueRemovals;
    }

    private RemovedEndpoint firstNotEjected(ProxyState state) {
        for (RemovedEndpoint endpoint : removedEndpoints.values()) {
            if (!isEjectedFor(state, endpoint)) {
                return endpoint;
            }
        }
        return null;
    }

    private static boolean isEjectedFor(ProxyState state, RemovedEndpoint endpoint) {
        return endpoint.ejectionMessage != NOT_ORDERED
                && endpoint.ejectionMessage >= state.firstMessage;
    }

    private double deadline(ProxyState state, RemovedEndpoint endpoint) {
        return Math.max(state.joinedAt, endpoint.removedAt) + grace;
    }
}
