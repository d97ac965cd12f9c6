package sprucelanding.control.decision;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import sprucelanding.control.decision.ChannelBudget.Purpose;

/**
 * Queue of endpoints that are to be ejected from, or restored to, all tables of the joined proxies,
 * including tables that another governor sent. Such an ejection also takes effect at proxies that
 * are not bound yet. With one entry for each proxy, it removes an endpoint from several tables.
 */
final class EjectionQueue {
    /** Minimum time between two rounds of ejections. */
    private static final double ROUND_INTERVAL_MS = 500;

    private final EventTime time;
    private final ProxyRegistry proxies;
    private final RoutingTables tables;
    private final ChannelBudget channel;
    private final DrainTracker drains;
    private final JoinForecast joins;
    private final BindScheduler binds;
    private final RestorationScheduler restorations;

    /**
     * Endpoints that a list update contained or omitted. The queue may contain an endpoint several
     * times.
     */
    private final ArrayDeque<Endpoint> pending = new ArrayDeque<>();

    /**
     * Pending endpoints that are to be ejected again, for proxies that joined after the ejection.
     */
    private final Set<Endpoint> repeated = new LinkedHashSet<>();

    private boolean hasNewProxies;
    private boolean isWaitingForRoom;
    private double lastRoundTime = EventTime.NEVER;

    EjectionQueue(ControllerState state, BindScheduler binds, RestorationScheduler restorations) {
        time = state.time();
        proxies = state.proxies();
        tables = state.tables();
        channel = state.channel();
        drains = state.drains();
        joins = state.joins();
        this.binds = binds;
        this.restorations = restorations;
    }

    /** Adds an endpoint whose listed state may require an ejection or a restoration. */
    void add(Endpoint endpoint) {
        pending.add(endpoint);
    }

    /** Requests that earlier ejections are repeated for a proxy that has joined. */
    void proxyJoined() {
        hasNewProxies = true;
    }

    /** Removes the endpoints from the queue. */
    void forget(Collection<Endpoint> endpoints) {
        pending.removeAll(endpoints);
        repeated.removeAll(endpoints);
        proxies.all().forEach(proxy -> proxy.endpointsForgotten(endpoints));
    }

    /**
     * Returns whether an ejection is waiting for free channel capacity. No other update may be sent
     * in the meantime.
     */
    boolean isWaitingForRoom() {
        return isWaitingForRoom;
    }

    /**
     * Sends the next ejection or restoration.
     *
     * @param known all known endpoints
     * @return false if nothing can be sent now
     */
    boolean sendNext(ControllerOutput output, Collection<Endpoint> known) {
        isWaitingForRoom = false;
        boolean startsNewRound = lastRoundTime < time.now();
        double sinceLastRound = time.now() - lastRoundTime;
        if (startsNewRound && !channel.hasPacedRemovals() && sinceLastRound < ROUND_INTERVAL_MS) {
            return false;
        }
        List<Proxy> unbound = unboundProxies();
        if (hasNewProxies) {
            hasNewProxies = false;
            repeatForNewProxies(known);
        }
        unbound = withoutProxiesBoundInTime(unbound);
        removeCompleted(unbound);
        Endpoint endpoint = channel.held().isEnabled() ? nextAllowed() : next();
        if (endpoint == null) {
            return false;
        }
        Collection<Proxy> receivers = receivers(endpoint, unbound);
        boolean mustWait =
                !channel.held().isEnabled() && mustSaveMessages(receivers, sinceLastRound);
        if (startsNewRound && mustWait) {
            return false;
        }
        isWaitingForRoom = startsNewRound && !hasRoomForRound(receivers);
        if (isWaitingForRoom || !book(endpoint, receivers)) {
            return false;
        }
        send(endpoint, receivers, output);
        return true;
    }

    /** Returns the proxies to which the host sends the ejection or the restoration. */
    private Collection<Proxy> receivers(Endpoint endpoint, List<Proxy> unbound) {
        if (channel.held().isEnabled()) {
            return receivers(endpoint);
        }
        return isInNoTable(endpoint) ? unbound : proxies.all();
    }

    /** Returns the proxies that need the ejection or the restoration. */
    private Collection<Proxy> receivers(Endpoint endpoint) {
        Predicate<Proxy> needsOrder =
                endpoint.isAvailable()
                        ? proxy -> mayShutOut(proxy, endpoint)
                        : proxy -> mayUse(proxy, endpoint);
        return proxies.all().stream().filter(needsOrder).toList();
    }

    /** Returns the first pending endpoint whose order may be sent to some proxy now, or null. */
    private Endpoint nextAllowed() {
        return pending.stream().filter(this::isAllowed).findFirst().orElse(null);
    }

    private boolean isAllowed(Endpoint endpoint) {
        return endpoint.isAvailable()
                || !channel.hasPacedRemovals()
                || channel.allowsRemoval(receivers(endpoint), endpoint.removedAt(), pending.size());
    }

    private boolean mayUse(Proxy proxy, Endpoint endpoint) {
        return !proxy.isToldOfEjection(endpoint)
                && (isUnbound(proxy) || proxy.sendsTrafficTo(endpoint));
    }

    private static boolean mayShutOut(Proxy proxy, Endpoint endpoint) {
        return !proxy.isUnconfigured() || proxy.isToldOfEjection(endpoint);
    }

    private List<Proxy> unboundProxies() {
        return pending.isEmpty() && !hasNewProxies
                ? List.of()
                : proxies.all().stream().filter(this::isUnbound).toList();
    }

    /** Returns whether the proxy still uses a table of another governor or its initial table. */
    private boolean isUnbound(Proxy proxy) {
        return tables.full().stream()
                .anyMatch(fullTable -> proxy.uses(fullTable) && !proxy.hasBind(fullTable));
    }

    /**
     * Queues earlier ejections again, since they did not reach proxies that joined afterwards. An
     * ejection that is still pending for other proxies keeps its deadline.
     */
    private void repeatForNewProxies(Collection<Endpoint> known) {
        repeated.retainAll(pending);
        known.stream()
                .filter(endpoint -> hasLeftLately(endpoint) && !pending.contains(endpoint))
                .forEach(repeated::add);
        repeated.stream().filter(endpoint -> !pending.contains(endpoint)).forEach(pending::add);
    }

    private boolean hasLeftLately(Endpoint endpoint) {
        return !endpoint.isAvailable()
                && time.now() - endpoint.removedAt()
                        < EndpointRegistry.REMOVED_ENDPOINT_RETENTION_MS;
    }

    /**
     * Returns the unbound proxies; an empty list if none of them would be bound too late while an
     * ejection would be in time.
     */
    private List<Proxy> withoutProxiesBoundInTime(List<Proxy> unbound) {
        double ejectionEntries =
                (unbound.size() + joins.expectedJoins())
                        * (channel.totalMessageOverhead() + pending.size());
        return unbound.stream().noneMatch(proxy -> binds.isBoundTooLate(proxy, ejectionEntries))
                ? List.of()
                : unbound;
    }

    /** Removes from the queue the endpoints that need neither an ejection nor a restoration. */
    private void removeCompleted(List<Proxy> unbound) {
        boolean needsEjections =
                !pending.isEmpty() && (tables.full().size() > 1 || !unbound.isEmpty());
        pending.removeIf(
                endpoint -> {
                    boolean ejected = endpoint.isEjectedFromAllTables();
                    return endpoint.isAvailable()
                            ? !ejected
                            : ejected && !repeated.contains(endpoint) || !needsEjections;
                });
    }

    private Endpoint next() {
        return pending.stream()
                .filter(EjectionQueue::isInNoTable)
                .findFirst()
                .orElse(pending.peek());
    }

    /**
     * Returns whether an unavailable endpoint is in none of this governor's tables. Its ejection
     * then need not be sent to bound proxies.
     */
    private static boolean isInNoTable(Endpoint endpoint) {
        return !endpoint.isAvailable() && endpoint.totalSentWeight() == 0;
    }

    /**
     * Returns whether a new round must wait, so that ejections alone do not use up the message
     * limit of a proxy. Where no grace is known, rounds are spread evenly over time when a proxy is
     * near the limit.
     */
    private boolean mustSaveMessages(Collection<Proxy> receivers, double sinceLastRound) {
        if (channel.hasPacedRemovals()) {
            return !channel.allowsRemoval(receivers, oldestRemoval(), pending.size());
        }
        boolean isAnyNearLimit = receivers.stream().anyMatch(channel::isMessageLimitNear);
        return channel.hasMessageLimit()
                && isAnyNearLimit
                && sinceLastRound < channel.messageInterval();
    }

    private boolean book(Endpoint endpoint, Collection<Proxy> receivers) {
        double removedAt = channel.held().isEnabled() ? endpoint.removedAt() : oldestRemoval();
        return channel.hasPacedRemovals() && !endpoint.isAvailable()
                ? channel.bookRemoval(receivers, removedAt, pending.size(), Purpose.EJECTION)
                : channel.book(receivers, 1, ChannelPriority.MANDATORY, Purpose.EJECTION);
    }

    /** Returns the time since when the oldest ejection that is not a repetition is required, ms. */
    private double oldestRemoval() {
        return pending.stream()
                .filter(endpoint -> !endpoint.isAvailable() && !repeated.contains(endpoint))
                .mapToDouble(Endpoint::removedAt)
                .min()
                .orElse(Double.POSITIVE_INFINITY);
    }

    /**
     * Returns whether the channel has capacity for a round, which sends several ejections in one
     * message.
     */
    private boolean hasRoomForRound(Collection<Proxy> receivers) {
        double entriesPerProxy =
                ChannelPriority.ORDINARY.share()
                                * channel.queueLimit()
                                / Math.max(1, receivers.size())
                        - channel.totalMessageOverhead();
        int roundSize = (int) Math.min(pending.size(), entriesPerProxy);
        int entries = Math.max(1, roundSize);
        return channel.hasPacedRemovals()
                ? channel.hasQueueRoom(receivers, entries, ChannelPriority.MANDATORY)
                : channel.hasRoom(receivers, entries, ChannelPriority.MANDATORY);
    }

    private void send(Endpoint endpoint, Collection<Proxy> receivers, ControllerOutput output) {
        lastRoundTime = time.now();
        pending.remove(endpoint);
        repeated.remove(endpoint);
        boolean ejected = !endpoint.isAvailable();
        endpoint.setEjectedFromAllTables(ejected);
        if (ejected) {
            receivers.forEach(proxy -> proxy.ejectionOrdered(endpoint));
            drains.ejectedEverywhere(endpoint.id, channel.queue().nextMessageNumber());
        } else {
            receivers.forEach(proxy -> proxy.restorationOrdered(endpoint));
            restorations.restoredByOrder(endpoint);
        }
        output.setEjected(endpoint, ejected);
    }
}
