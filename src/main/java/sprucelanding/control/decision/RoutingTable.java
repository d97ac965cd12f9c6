package sprucelanding.control.decision;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A routing table that proxies share: its target entries, its entries as last sent, and the proxies
 * bound to the table. A full table contains every endpoint that may serve its request classes.
 * Where a full table is divided, proxies are bound to subsets of the table.
 */
final class RoutingTable {
    /** The number of a table that has been cleared and that proxies no longer hold. */
    static final int CLEARED = -1;

    /** The zone of a table for the proxies and endpoints of all zones. */
    static final int ALL_ZONES = -1;

    private int number;
    private final RequestClass requestClass;
    private final int zone;
    private final RoutingTable fullTable;
    private final boolean isStarter;
    private final List<RoutingTable> subsets = new ArrayList<>();
    private final BitSet requestClasses;
    private final Map<Endpoint, TableEntry> entries = new LinkedHashMap<>();
    private final Set<Proxy> users = new LinkedHashSet<>();
    private final Set<Proxy> receivers = new LinkedHashSet<>();

    /** The request classes for which an admission level has been sent. */
    private final BitSet hasSentAdmission = new BitSet();

    private final double[] sentAdmission;
    private final int[] sentRetryPolicy;
    private double sentWeight;
    private double targetWeight;
    private double relativeDemand;
    private double lastEntryTime = EventTime.NEVER;
    private double lastAdmissionTime = EventTime.NEVER;

    private RoutingTable(
            int number,
            RequestClass requestClass,
            int zone,
            RoutingTable fullTable,
            boolean isStarter,
            int classCount) {
        this.number = number;
        this.requestClass = requestClass;
        this.zone = zone;
        this.fullTable = fullTable == null ? this : fullTable;
        this.isStarter = isStarter;
        this.requestClasses = fullTable == null ? new BitSet() : fullTable.requestClasses;
        this.sentAdmission = new double[classCount];
        this.sentRetryPolicy = new int[classCount];
    }

    /**
     * Creates a table of all endpoints that may serve a request class.
     *
     * @param number number by which proxies identify the table
     * @param requestClass any request class of the table; all of them have the same endpoints
     * @param zone zone of the proxies and endpoints, or {@link #ALL_ZONES}
     * @param classCount number of request classes of the site
     */
    static RoutingTable full(int number, RequestClass requestClass, int zone, int classCount) {
        return new RoutingTable(number, requestClass, zone, null, false, classCount);
    }

    /** Creates a subset of this table without entries. */
    RoutingTable newSubset(int subsetNumber, boolean isStarter) {
        return new RoutingTable(
                subsetNumber, requestClass, zone, this, isStarter, sentAdmission.length);
    }

    /** Returns the number by which proxies identify the table, or {@link #CLEARED}. */
    int number() {
        return number;
    }

    boolean isCleared() {
        return number < 0;
    }

    /** Gives a cleared table a new number, under which the table can be sent again. */
    void renumber(int newNumber) {
        number = newNumber;
    }

    /** Returns the zone of the proxies and endpoints, or {@link #ALL_ZONES}. */
    int zone() {
        return zone;
    }

    /** Returns the full table of this subset; this table if it is a full table. */
    RoutingTable fullTable() {
        return fullTable;
    }

    boolean isFull() {
        return fullTable == this;
    }

    /** Returns whether this is a small table for proxies that must be bound quickly. */
    boolean isStarter() {
        return isStarter;
    }

    /** Returns the subsets to which proxies are bound in place of this full table, if any. */
    List<RoutingTable> subsets() {
        return subsets;
    }

    /** Returns the positions of the request classes that this table routes. */
    BitSet requestClasses() {
        return requestClasses;
    }

    /** Returns whether the table may contain the endpoint. */
    boolean accepts(Endpoint endpoint) {
        return requestClass.canBeServedBy(endpoint.machineKind(), endpoint.zone())
                && (zone < 0 || zone == endpoint.zone());
    }

    Collection<TableEntry> entries() {
        return entries.values();
    }

    Set<Endpoint> endpoints() {
        return entries.keySet();
    }

    boolean hasEntryOf(Endpoint endpoint) {
        return entries.containsKey(endpoint);
    }

    /** Returns the entry of an endpoint; adds an entry without weight if there is none. */
    TableEntry entryOf(Endpoint endpoint) {
        return entries.computeIfAbsent(endpoint, added -> new TableEntry(this, added));
    }

    /** Returns the entry of an endpoint, or null if there is none. */
    TableEntry existingEntryOf(Endpoint endpoint) {
        return entries.get(endpoint);
    }

    void removeEntryOf(Endpoint endpoint) {
        entries.remove(endpoint);
    }

    void removeEntriesOf(Collection<Endpoint> endpoints) {
        entries.keySet().removeAll(endpoints);
    }

    /** Adds an endpoint to this subset, with its weight in the full table. */
    void addFromFullTable(Endpoint endpoint) {
        entryOf(endpoint).setWeight(fullTable.entryOf(endpoint).weight());
    }

    /** Returns the number of entries whose endpoints are available. */
    int availableEntries() {
        return (int) entries.keySet().stream().filter(Endpoint::isAvailable).count();
    }

    /** Returns whether the table as last sent gives traffic to the endpoint. */
    boolean sendsTrafficTo(Endpoint endpoint) {
        TableEntry entry = entries.get(endpoint);
        return entry != null && entry.sentWeight() > 0;
    }

    /** Returns whether the table as last sent has no entries. */
    boolean isEmpty() {
        return sentWeight == 0;
    }

    /** Returns the sum of the weights as last sent. */
    double sentWeight() {
        return sentWeight;
    }

    void addSentWeight(double change) {
        sentWeight += change;
    }

    /** Returns the sum of the target weights at the time of the last ranking. */
    double targetWeight() {
        return targetWeight;
    }

    void setTargetWeight(double targetWeight) {
        this.targetWeight = targetWeight;
    }

    /** Returns the demand per unit of endpoint speed; 1 is the mean of all tables. */
    double relativeDemand() {
        return relativeDemand;
    }

    void setRelativeDemand(double relativeDemand) {
        this.relativeDemand = relativeDemand;
    }

    /** Returns the joined proxies that are bound to the table. */
    Set<Proxy> users() {
        return users;
    }

    /** Returns the joined proxies that have been bound to the table since it was last cleared. */
    Set<Proxy> receivers() {
        return receivers;
    }

    void addUser(Proxy proxy) {
        users.add(proxy);
        receivers.add(proxy);
    }

    void removeUser(Proxy proxy) {
        users.remove(proxy);
    }

    void proxyLeft(Proxy proxy) {
        users.remove(proxy);
        receivers.remove(proxy);
    }

    /** Returns the time at which an entry of the table was last sent, ms. */
    double lastEntryTime() {
        return lastEntryTime;
    }

    void setLastEntryTime(double time) {
        lastEntryTime = time;
    }

    /** Returns the time at which an admission level of the table was last sent, ms. */
    double lastAdmissionTime() {
        return lastAdmissionTime;
    }

    /**
     * Returns the admission level that was last sent for a request class: a share or a rate. The
     * value has no meaning if none has been sent.
     */
    double sentAdmission(int requestClassIndex) {
        return sentAdmission[requestClassIndex];
    }

    boolean hasSentAdmission(int requestClassIndex) {
        return hasSentAdmission.get(requestClassIndex);
    }

    int sentRetryPolicy(int requestClassIndex) {
        return sentRetryPolicy[requestClassIndex];
    }

    void admissionSent(int requestClassIndex, double admitted, int retryPolicy, double now) {
        lastAdmissionTime = now;
        hasSentAdmission.set(requestClassIndex);
        sentAdmission[requestClassIndex] = admitted;
        sentRetryPolicy[requestClassIndex] = retryPolicy;
    }

    /** Records that the host has removed all entries and admission levels of the table. */
    void cleared() {
        number = CLEARED;
        receivers.clear();
        entries.values().forEach(entry -> entry.markSent(0));
        hasSentAdmission.clear();
    }
}
