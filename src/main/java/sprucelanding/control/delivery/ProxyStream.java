package sprucelanding.control.delivery;

import java.util.ArrayDeque;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * State of one proxy's stream: the proxy's subscriptions, the resources that it is known to hold,
 * the updates that it has not answered yet, and the names that have yet to be sent.
 *
 * <p>All methods are called from the governor's thread, except {@link #lease()}, which any thread
 * may call.
 */
public final class ProxyStream {
    /** Mode in which a proxy takes updates. */
    public enum UpdateMode {
        /** Changes, type by type (incremental xDS). */
        INCREMENTAL,
        /** The full state of a type in each update (state-of-the-world xDS). */
        STATE_OF_THE_WORLD,
        /**
         * Changes of all types in one edit, which is applied completely or not at all; one edit at
         * a time.
         */
        TRANSACTIONAL
    }

    /**
     * Lease that permits writes to the proxy.
     *
     * @param until end of the lease, in ms on this governor's clock; each write has to be sent
     *     before that
     * @param epoch epoch under which this governor owns the proxy
     */
    public record Lease(double until, long epoch) {
        /** Returns whether a write may be sent at this time, in ms on this governor's clock. */
        public boolean isValidAt(double now) {
            return now < until;
        }
    }

    /**
     * Phases of a stream. CONNECTED is followed by ADMITTED; both can be followed by CLOSED, which
     * is final.
     */
    private enum Phase {
        CONNECTED,
        ADMITTED,
        CLOSED
    }

    /** Id of the proxy. */
    public final int proxyId;

    /** Whether the proxy takes changes; otherwise each update has the full state of a type. */
    public final boolean isIncremental;

    /** Object that the front needs to reach the proxy. */
    public final Object transport;

    private final boolean isTransactional;
    private final Subscriptions subscriptions = new Subscriptions();
    private final InstalledResources installed = new InstalledResources();
    private final PendingNames pending = new PendingNames();
    private final UnansweredUpdates unanswered = new UnansweredUpdates();
    private final MessageWindow messageWindow = new MessageWindow();
    private final TreeMap<Integer, Integer> tableByClass = new TreeMap<>();
    private final ArrayDeque<AcknowledgementRequest> acknowledgementRequests = new ArrayDeque<>();
    private Phase phase = Phase.CONNECTED;
    private boolean isUrgent;
    private boolean isLagging;

    /**
     * Maximum number of names in an update. The limit applies from a rejection on and rises again
     * with each acceptance.
     */
    private int maxNamesPerUpdate = Integer.MAX_VALUE;

    private volatile Lease lease = new Lease(Double.POSITIVE_INFINITY, 0);

    /**
     * Creates a stream in the phase CONNECTED.
     *
     * @param id id of the proxy
     * @param mode mode in which the proxy takes updates
     * @param transport object that the front needs to reach the proxy
     */
    public ProxyStream(int id, UpdateMode mode, Object transport) {
        this.proxyId = id;
        this.isIncremental = mode != UpdateMode.STATE_OF_THE_WORLD;
        this.isTransactional = mode == UpdateMode.TRANSACTIONAL;
        this.transport = transport;
    }

    /**
     * Permits writes to the proxy under a lease. This method is never called if there are no other
     * governors: writes are then always permitted, under epoch 0.
     *
     * @param until end of the lease, in ms on this governor's clock; each write has to be sent
     *     before that
     * @param epoch epoch under which this governor owns the proxy
     */
    public void grantLease(double until, long epoch) {
        lease = new Lease(until, epoch);
    }

    /** Forbids writes to the proxy until the next lease is granted. */
    public void revokeLease() {
        lease = new Lease(Double.NEGATIVE_INFINITY, lease.epoch);
    }

    /**
     * Returns the current lease. The writing thread has to call this method directly before each
     * write, because a governor that was suspended may have lost the proxy in the meantime. The
     * write has to use the epoch of the returned lease.
     */
    public Lease lease() {
        return lease;
    }

    /** Returns whether the proxy holds a resource, in any version. */
    public boolean hasAcknowledged(ResourceName name) {
        return installed.contains(name);
    }

    /** Returns whether any request class of the proxy is bound to a table. */
    public boolean isBound() {
        return !tableByClass.isEmpty();
    }

    /** Returns the version of a resource that the proxy holds; null if it holds none. */
    public String acknowledgedVersion(ResourceName name) {
        return installed.version(name);
    }

    /** Returns whether the proxy takes changes of all types in one edit. */
    boolean isTransactional() {
        return isTransactional;
    }

    Subscriptions subscriptions() {
        return subscriptions;
    }

    InstalledResources installed() {
        return installed;
    }

    PendingNames pending() {
        return pending;
    }

    UnansweredUpdates unanswered() {
        return unanswered;
    }

    MessageWindow messageWindow() {
        return messageWindow;
    }

    void bind(int requestClass, int table) {
        tableByClass.put(requestClass, table);
    }

    boolean isBoundTo(int table) {
        return tableByClass.containsValue(table);
    }

    /** Returns the table to which a request class is bound; empty if it is not bound. */
    OptionalInt tableOf(int requestClass) {
        Integer table = tableByClass.get(requestClass);
        return table == null ? OptionalInt.empty() : OptionalInt.of(table);
    }

    /** Returns the bound table of each request class. */
    Map<Integer, Integer> bindings() {
        return tableByClass;
    }

    /** Returns a copy of the set of all bound tables, in ascending order. */
    Set<Integer> boundTables() {
        return new TreeSet<>(tableByClass.values());
    }

    void admit() {
        if (phase == Phase.CONNECTED) {
            phase = Phase.ADMITTED;
        }
    }

    void close() {
        phase = Phase.CLOSED;
    }

    boolean isAdmitted() {
        return phase == Phase.ADMITTED;
    }

    boolean isClosed() {
        return phase == Phase.CLOSED;
    }

    /** Marks the stream as urgent: its removals are sent before all other changes. */
    void markUrgent() {
        isUrgent = true;
    }

    void clearUrgent() {
        isUrgent = false;
    }

    boolean isUrgent() {
        return isUrgent;
    }

    /** Returns whether the proxy has been logged as lagging. */
    boolean isLagging() {
        return isLagging;
    }

    void markLagging() {
        isLagging = true;
    }

    /**
     * Handles an answer. The proxy no longer counts as lagging if there are no more unanswered
     * updates.
     */
    void answerReceived() {
        isLagging = isLagging && !unanswered.isEmpty();
    }

    int maxNamesPerUpdate() {
        return maxNamesPerUpdate;
    }

    void limitNamesPerUpdate(int maxNames) {
        maxNamesPerUpdate = maxNames;
    }

    void requestAcknowledgement(AcknowledgementRequest request) {
        acknowledgementRequests.add(request);
    }

    boolean awaitsAcknowledgement() {
        return !acknowledgementRequests.isEmpty();
    }

    /**
     * Removes and returns the next request whose orders are all older than the given stamp; null if
     * there is none.
     */
    AcknowledgementRequest pollSettledRequest(long oldestUnsettledOrder) {
        AcknowledgementRequest next = acknowledgementRequests.peek();
        return next != null && next.orderStamp() < oldestUnsettledOrder
                ? acknowledgementRequests.poll()
                : null;
    }

    /** Returns whether a name is pending or part of an unanswered update. */
    boolean isUnsettled(ResourceName name) {
        return pending.contains(name) || unanswered.contains(name);
    }

    /**
     * Returns the stamp of the oldest order that is not settled; {@link Long#MAX_VALUE} if all
     * orders are settled.
     */
    long oldestUnsettledOrder() {
        return Math.min(pending.oldestStamp(), unanswered.oldestStamp());
    }
}
