package sprucelanding.control.decision;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sprucelanding.control.decision.ChannelBudget.Purpose;

/**
 * Updates that have been ordered while some of their proxies may not be sent a message. The host
 * holds the updates of such a proxy, and sends all of them with the next message that is booked for
 * the proxy. The limit of messages to one proxy thus delays no other proxy. Times are in ms.
 */
final class HeldUpdates {
    /** What is held for one proxy. */
    private static final class Update {
        private int entries;
        private ChannelPriority priority = ChannelPriority.ORDINARY;
        private Purpose purpose;

        /** Time since when the oldest held removal is required; infinite if there is none. */
        private double removedAt = Double.POSITIVE_INFINITY;
    }

    private final Map<Proxy, Update> updates = new LinkedHashMap<>();
    private boolean isEnabled;

    /** Configures that the host can hold the updates of single proxies. */
    void enable() {
        isEnabled = true;
    }

    boolean isEnabled() {
        return isEnabled;
    }

    /**
     * Adds entries for a proxy.
     *
     * @param removedAt time since when the removal in these entries is required; infinite if they
     *     contain none
     */
    void add(
            Proxy proxy, int entries, ChannelPriority priority, Purpose purpose, double removedAt) {
        Update update = updates.computeIfAbsent(proxy, key -> new Update());
        update.entries += entries;
        update.removedAt = Math.min(update.removedAt, removedAt);
        update.purpose = purpose;
        if (priority.isAbove(update.priority)) {
            update.priority = priority;
        }
    }

    /** Removes what is held for a proxy, because it is sent now or the stream has ended. */
    void remove(Proxy proxy) {
        updates.remove(proxy);
    }

    boolean contains(Proxy proxy) {
        return updates.containsKey(proxy);
    }

    /** Returns the proxies with held updates, the longest waiting first. */
    Collection<Proxy> proxies() {
        return List.copyOf(updates.keySet());
    }

    /** Returns the number of entries that the next message to a proxy contains in addition. */
    int entries(Proxy proxy) {
        Update update = updates.get(proxy);
        return update == null ? 0 : update.entries;
    }

    /** Returns the highest priority of a proxy's held updates. */
    ChannelPriority priority(Proxy proxy) {
        return updates.get(proxy).priority;
    }

    Purpose purpose(Proxy proxy) {
        return updates.get(proxy).purpose;
    }

    /** Returns the time since when a proxy's oldest held removal is required, or infinity. */
    double removedAt(Proxy proxy) {
        return updates.get(proxy).removedAt;
    }
}
