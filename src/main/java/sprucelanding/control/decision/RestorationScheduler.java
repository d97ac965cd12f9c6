package sprucelanding.control.decision;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import sprucelanding.control.decision.ChannelBudget.Purpose;

/**
 * Restores endpoints at proxies that may hold an ejection which this governor does not remember: an
 * ejection by another governor, by an earlier process of this governor, or of an endpoint that has
 * been forgotten since. Such an ejection can concern any endpoint. Each proxy is therefore told
 * once for each endpoint, in this order:
 *
 * <ul>
 *   <li>When an endpoint returns to the list, the proxies with a table of which they were told no
 *       other endpoint are told as soon as the table contains it.
 *   <li>When a proxy has been bound, it is told a few endpoints of each table, so that each request
 *       class has an endpoint.
 *   <li>All other pairs of proxy and endpoint follow over time, with a small share of the channel.
 * </ul>
 *
 * <p>The memory needed depends on the numbers of joined proxies and of known endpoints only. The
 * scheduler does nothing unless the host's proxies keep ejections when their stream ends.
 */
final class RestorationScheduler {
    /** Endpoints of each table that a proxy is told at once after it has been bound. */
    private static final int MIN_RESTORED_ENTRIES = 2;

    /** Share of the channel for restorations that are not urgent. */
    private static final double CHANNEL_SHARE = 0.1;

    /** The number of an endpoint's last restoration if there was none. */
    private static final long NEVER_RESTORED = 0;

    private final EventTime time;
    private final RoutingTables tables;
    private final ChannelBudget channel;
    private boolean isEnabled;

    /** Number of joins so far; joins are numbered from 1. */
    private long lastJoin;

    private final Map<Proxy, Long> joinByProxy = new HashMap<>();

    /** By the number of their join, the joined proxies that may hold an unknown ejection. */
    private final TreeMap<Long, Proxy> holders = new TreeMap<>();

    /** By endpoint, the number of the last join up to which all holders have been told. */
    private final Map<Endpoint, Long> restoredThrough = new HashMap<>();

    /** Endpoints that have returned to the list and are not in a table yet. */
    private final Set<Endpoint> returned = new LinkedHashSet<>();

    private final ArrayDeque<Proxy> newlyBound = new ArrayDeque<>();

    /** Endpoints that may be restored in the current batch of background restorations. */
    private final ArrayDeque<Endpoint> batch = new ArrayDeque<>();

    private double lastBatchTime = EventTime.NEVER;
    private double remainingEntries;

    RestorationScheduler(EventTime time, RoutingTables tables, ChannelBudget channel) {
        this.time = time;
        this.tables = tables;
        this.channel = channel;
    }

    /** Configures that the host's proxies keep ejections when their stream ends. */
    void enable() {
        isEnabled = true;
    }

    void proxyJoined(Proxy proxy) {
        lastJoin++;
        joinByProxy.put(proxy, lastJoin);
        if (isEnabled && !proxy.isUnconfigured()) {
            holders.put(lastJoin, proxy);
        }
    }

    void proxyLeft(Proxy proxy) {
        Long join = joinByProxy.remove(proxy);
        if (join != null) {
            holders.remove(join);
        }
        newlyBound.remove(proxy);
    }

    /** Notes that a proxy now has all its tables from this governor. */
    void proxyBound(Proxy proxy) {
        if (holders.containsKey(joinByProxy.get(proxy))) {
            newlyBound.add(proxy);
        }
    }

    /** Notes that an endpoint has entered service after the first list. */
    void endpointReturned(Endpoint endpoint) {
        restoredThrough.remove(endpoint);
        if (isEnabled) {
            returned.add(endpoint);
        }
    }

    /**
     * Notes that {@link ControllerOutput#setEjected} has restored an endpoint. That order reaches
     * the proxies that joined with tables, and those to which it ordered the ejection.
     */
    void restoredByOrder(Endpoint endpoint) {
        if (holders.values().stream().noneMatch(Proxy::isUnconfigured)) {
            restoredThrough.put(endpoint, lastJoin);
            returned.remove(endpoint);
        }
    }

    /** Forgets endpoints. Proxies at which one of them is ejected hold an unknown ejection now. */
    void endpointsForgotten(Collection<Endpoint> endpoints) {
        restoredThrough.keySet().removeAll(endpoints);
        returned.removeAll(endpoints);
        if (isEnabled && endpoints.stream().anyMatch(Endpoint::isEjectedFromAllTables)) {
            joinByProxy.forEach((proxy, join) -> holders.put(join, proxy));
        }
    }

    /**
     * Orders the next urgent restoration: of an endpoint that has returned, or at a proxy that has
     * just been bound.
     *
     * @return whether an order was given; false if there is none or it does not fit the channel
     */
    boolean sendUrgent(ControllerOutput output) {
        return sendReturned(output) || sendToNewlyBound(output);
    }

    private boolean sendReturned(ControllerOutput output) {
        for (Endpoint endpoint : List.copyOf(returned)) {
            if (!endpoint.isAvailable()) {
                returned.remove(endpoint);
            } else if (endpoint.totalSentWeight() > 0) {
                NavigableMap<Long, Proxy> untold = untoldHolders(endpoint);
                List<Proxy> users =
                        untold.values().stream().filter(p -> dependsOn(p, endpoint)).toList();
                if (!book(users, 1, ChannelPriority.URGENT)) {
                    return false;
                }
                returned.remove(endpoint);
                if (users.size() == untold.size()) {
                    restoredThrough.put(endpoint, lastJoin);
                }
                if (!users.isEmpty()) {
                    restore(endpoint, users, output);
                    return true;
                }
            }
        }
        return false;
    }

    /** Returns whether a table of the proxy has the endpoint, but no endpoint told so far. */
    private boolean dependsOn(Proxy proxy, Endpoint endpoint) {
        return proxy.boundTables().stream()
                .filter(table -> table.sendsTrafficTo(endpoint))
                .anyMatch(table -> hasNoneTold(proxy, usableEndpoints(table)));
    }

    private boolean hasNoneTold(Proxy proxy, List<Endpoint> usable) {
        return usable.stream().noneMatch(endpoint -> isTold(proxy, endpoint));
    }

    /** Returns the available endpoints that the table sends traffic to, heaviest first. */
    private static List<Endpoint> usableEndpoints(RoutingTable table) {
        return table.entries().stream()
                .filter(entry -> entry.sentWeight() > 0)
                .sorted(Comparator.comparingDouble(entry -> -entry.sentWeight()))
                .map(TableEntry::endpoint)
                .filter(Endpoint::isAvailable)
                .toList();
    }

    private boolean sendToNewlyBound(ControllerOutput output) {
        while (!newlyBound.isEmpty()) {
            Proxy proxy = newlyBound.peek();
            Set<Endpoint> few = untoldFewOf(proxy);
            if (!few.isEmpty() && !book(List.of(proxy), few.size(), ChannelPriority.URGENT)) {
                return false;
            }
            newlyBound.poll();
            if (!few.isEmpty()) {
                few.forEach(endpoint -> restore(endpoint, List.of(proxy), output));
                return true;
            }
        }
        return false;
    }

    /** Returns a few endpoints of each of the proxy's tables of which the proxy was told none. */
    private Set<Endpoint> untoldFewOf(Proxy proxy) {
        Set<Endpoint> few = new LinkedHashSet<>();
        for (RoutingTable table : proxy.boundTables()) {
            List<Endpoint> usable = usableEndpoints(table);
            if (hasNoneTold(proxy, usable)) {
                few.addAll(usable.subList(0, Math.min(MIN_RESTORED_ENTRIES, usable.size())));
            }
        }
        return few;
    }

    /** Returns whether the proxy has been told that the endpoint is not ejected. */
    private boolean isTold(Proxy proxy, Endpoint endpoint) {
        boolean isRestoredByBind = endpoint.mayBeEjectedElsewhere() && !proxy.isUnconfigured();
        return isRestoredByBind || restoredThrough(endpoint) >= joinByProxy.get(proxy);
    }

    /**
     * Orders the next restoration that is not urgent. Restorations are sent in batches, so that
     * several of them share a message.
     *
     * @param available the available endpoints
     * @return whether an order was given
     */
    boolean sendNext(ControllerOutput output, List<Endpoint> available) {
        if (holders.isEmpty() || !hasBatch(available)) {
            return false;
        }
        long lastBound = lastBoundJoin();
        while (!batch.isEmpty() && remainingEntries > 0) {
            Endpoint endpoint = batch.peek();
            long first = restoredThrough(endpoint);
            List<Proxy> untold =
                    first >= lastBound
                            ? List.of()
                            : List.copyOf(holders.subMap(first, false, lastBound, true).values());
            if (!book(untold, 1, ChannelPriority.ORDINARY)) {
                break;
            }
            batch.poll();
            restoredThrough.merge(endpoint, lastBound, Math::max);
            if (!untold.isEmpty()) {
                remainingEntries -= untold.size();
                restore(endpoint, untold, output);
                return true;
            }
        }
        batch.clear();
        return false;
    }

    /** Returns whether a batch is being sent; begins one if the last was long enough ago. */
    private boolean hasBatch(List<Endpoint> available) {
        double now = time.now();
        if (now == lastBatchTime) {
            return !batch.isEmpty();
        }
        batch.clear();
        double pause = Math.max(EventTime.UPDATE_INTERVAL_MS, channel.messageInterval());
        if (now - lastBatchTime < pause) {
            return false;
        }
        lastBatchTime = now;
        double budget = CHANNEL_SHARE * pause * channel.measuredRate();
        remainingEntries = Math.min(budget, remainingEntries + budget);
        long lastHolder = holders.lastKey();
        available.stream()
                .filter(e -> !e.isEjectedFromAllTables() && restoredThrough(e) < lastHolder)
                .forEach(batch::addFirst); // the endpoints that were listed last come first
        return !batch.isEmpty();
    }

    /** Returns the number of the last join before that of the first holder that is not bound. */
    private long lastBoundJoin() {
        for (Map.Entry<Long, Proxy> holder : holders.entrySet()) {
            if (tables.full().stream().anyMatch(holder.getValue()::needsBind)) {
                return holder.getKey() - 1;
            }
        }
        return lastJoin;
    }

    private long restoredThrough(Endpoint endpoint) {
        return restoredThrough.getOrDefault(endpoint, NEVER_RESTORED);
    }

    private NavigableMap<Long, Proxy> untoldHolders(Endpoint endpoint) {
        return holders.tailMap(restoredThrough(endpoint), false);
    }

    private static void restore(
            Endpoint endpoint, Collection<Proxy> receivers, ControllerOutput output) {
        receivers.forEach(proxy -> proxy.restorationOrdered(endpoint));
        output.restoreAt(endpoint, receivers);
    }

    private boolean book(Collection<Proxy> receivers, int entries, ChannelPriority priority) {
        return channel.book(receivers, entries, priority, Purpose.EJECTION);
    }
}
