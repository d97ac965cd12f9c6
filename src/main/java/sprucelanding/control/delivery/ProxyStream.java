package sprucelanding.control.delivery;

import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * One proxy's stream: what the proxy is known to hold, what is under way to it, and what it is
 * still owed.
 */
public final class ProxyStream {
    public final int proxyId;

    /** It takes changes; else the whole state of a kind each time. */
    public final boolean incremental;

    /** It takes changes of all kinds in one edit. */
    final boolean transactional;

    /** What the front needs to reach it. */
    public final Object transport;

    /** Versions acknowledged, or told by the proxy when it dialled. */
    final Map<ResourceName, String> acknowledgedVersions = new HashMap<>();

    /** What it refused: never sent again in the same version. */
    final Map<ResourceName, String> rejectedVersions = new HashMap<>();

    /** Names to look at again, with the stamp of the oldest order that touched each. */
    final Map<ResourceType, LinkedHashMap<ResourceName, Long>> pendingByType =
            new EnumMap<>(ResourceType.class);

    final TreeMap<Long, ResourceUpdate> unansweredUpdates = new TreeMap<>();

    /** By product, the table it was put on. */
    final TreeMap<Integer, Integer> tableByClass = new TreeMap<>();

    /**
     * Tables whose endpoints, and whose lines, it asked for; and whether it asked for clusters and
     * the route.
     */
    final Set<Integer> subscribedEndpointTables = new TreeSet<>();

    final Set<Integer> subscribedEntryTables = new TreeSet<>();
    boolean subscribedToClusters;
    boolean subscribedToRoute;

    /** Receipts asked for: serial and the stamp up to which all must be settled. */
    final ArrayDeque<long[]> acknowledgementRequests = new ArrayDeque<>();

    /** When messages were sent, oldest first. */
    final ArrayDeque<Double> sendTimes = new ArrayDeque<>();

    /** It drains lines that must go before anything else. */
    boolean urgent;

    boolean behind;
    boolean admitted;
    boolean closed;

    /** After a refusal, at most so many names go in one message until one gets through. */
    int maxNamesPerUpdate = Integer.MAX_VALUE;

    private volatile Lease lease = new Lease(Double.POSITIVE_INFINITY, 0);

    /** How a proxy takes what it is sent. */
    public enum UpdateMode {
        /** Changes, kind by kind. */
        CHANGES,
        /** The whole state of a kind each time. */
        WHOLE,
        /** Changes of all kinds in one edit, taken or left as a whole; one edit at a time. */
        EDITS
    }

    public ProxyStream(int id, UpdateMode mode, Object transport) {
        this.proxyId = id;
        this.incremental = mode != UpdateMode.WHOLE;
        this.transactional = mode == UpdateMode.EDITS;
        this.transport = transport;
        for (ResourceType type : ResourceType.values()) {
            pendingByType.put(type, new LinkedHashMap<>());
        }
    }

    /**
     * Until when this governor may write to the proxy, on its own clock, and under which epoch.
     * Without other governors nobody calls this: it may, under epoch 0.
     */
    public void leaseGranted(double until, long epoch) {
        lease = new Lease(until, epoch);
    }

    /** Nothing may be written to the proxy until a lease says so. */
    public void leaseWithdrawn() {
        lease = new Lease(Double.NEGATIVE_INFINITY, lease.epoch);
    }

    /**
     * To be asked right before each write, by whatever thread writes: a governor that stood still
     * may own the proxy no longer. What is written then goes under the epoch of this very answer.
     */
    public Lease lease() {
        return lease;
    }

    /** Until when a write may leave, ms on the own clock, and under which epoch. */
    public record Lease(double until, long epoch) {
        public boolean isValidAt(double now) {
            return now < until;
        }
    }

    /** Whether a name was acknowledged, by this version or another. */
    public boolean hasAcknowledged(ResourceName name) {
        return acknowledgedVersions.containsKey(name);
    }

    public boolean isBound() {
        return !tableByClass.isEmpty();
    }

    /** What it acknowledged of a name, or null. */
    public String acknowledgedVersion(ResourceName name) {
        return acknowledgedVersions.get(name);
    }

    boolean hasUnanswered(ResourceType type) {
        return unansweredUpdates.values().stream().anyMatch(update -> update.type == type);
    }

    /** Whether a name is under way or still owed. */
    boolean isUnsettled(ResourceName name) {
        return pendingByType.get(name.type()).containsKey(name)
                || unansweredUpdates.values().stream()
                        .anyMatch(update -> update.orderStampByName.containsKey(name));
    }

    /** The oldest order that is not settled; none: the largest number there is. */
    long oldestUnsettledOrder() {
        long oldest = Long.MAX_VALUE;
        for (LinkedHashMap<ResourceName, Long> names : pendingByType.values()) {
            for (long stamp : names.values()) {
                oldest = Math.min(oldest, stamp);
            }
        }
        for (ResourceUpdate update : unansweredUpdates.values()) {
            for (long stamp : update.orderStampByName.values()) {
                oldest = Math.min(oldest, stamp);
            }
        }
        return oldest;
    }
}
