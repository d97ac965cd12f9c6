package sprucelanding.control.distribution;

import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import sprucelanding.control.decision.Endpoint;

/** A routing table as it was ordered, with the proxies that are bound to the table. */
final class OrderedTable {
    /** Tells whether an endpoint may receive requests. */
    private final Predicate<Endpoint> isAvailable;

    private final Map<Endpoint, Double> weights = new LinkedHashMap<>();
    private final Map<Integer, TableUpdate.AdmissionLevel> admissionByClass = new TreeMap<>();

    /**
     * The request classes for which each bound proxy uses the table. The sets are never modified.
     */
    private final Map<ConnectedProxy, BitSet> classesByProxy = new LinkedHashMap<>();

    /** This batch's changes, by the request classes of the proxies that receive the changes. */
    private final Map<BitSet, TableUpdate> sharedChanges = new HashMap<>();

    OrderedTable(Predicate<Endpoint> isAvailable) {
        this.isAvailable = isAvailable;
    }

    /** Returns the endpoints with an entry, in the order in which the entries were added. */
    Set<Endpoint> endpoints() {
        return weights.keySet();
    }

    boolean contains(Endpoint endpoint) {
        return weights.containsKey(endpoint);
    }

    boolean hasBoundProxies() {
        return !classesByProxy.isEmpty();
    }

    /** Sets an endpoint's weight in the table and at the bound proxies; 0 removes the entry. */
    void setWeight(Endpoint endpoint, double weight) {
        if (weight > 0) {
            weights.put(endpoint, weight);
        } else {
            weights.remove(endpoint);
        }
        pendingUpdates(classes -> true).forEach(update -> update.setWeight(endpoint, weight));
    }

    /** Sets a request class's admission in the table and at the proxies bound for that class. */
    void setAdmission(int classIndex, TableUpdate.AdmissionLevel admission) {
        admissionByClass.put(classIndex, admission);
        pendingUpdates(classes -> classes.get(classIndex))
                .forEach(update -> update.setAdmission(classIndex, admission));
    }

    /** Removes all entries and admission levels. The bound proxies are sent an empty table. */
    void clear() {
        weights.clear();
        admissionByClass.clear();
        sharedChanges.clear();
        classesByProxy.forEach(
                (proxy, classes) -> proxy.replaceUpdate(this, TableUpdate.wholeTable(classes)));
    }

    /**
     * Removes the entries of endpoints that no order will name again, without updates to proxies.
     */
    void discardEndpoints(Predicate<Endpoint> removed) {
        weights.keySet().removeIf(removed);
    }

    /** Binds a proxy for additional request classes. The proxy is sent the whole table. */
    void bind(ConnectedProxy proxy, BitSet classes) {
        BitSet allClasses = (BitSet) classesByProxy.getOrDefault(proxy, new BitSet()).clone();
        allClasses.or(classes);
        classesByProxy.put(proxy, allClasses);
        proxy.replaceUpdate(this, wholeTableFor(allClasses));
    }

    /**
     * Unbinds a proxy for one request class. The proxy is sent the whole table for its remaining
     * request classes.
     */
    void unbind(ConnectedProxy proxy, int classIndex) {
        BitSet remaining = (BitSet) classesByProxy.get(proxy).clone();
        remaining.clear(classIndex);
        proxy.cancelUpdate(this);
        if (remaining.isEmpty()) {
            classesByProxy.remove(proxy);
        } else {
            classesByProxy.put(proxy, remaining);
            proxy.replaceUpdate(this, wholeTableFor(remaining));
        }
    }

    /** Unbinds a proxy that has left. */
    void unbind(ConnectedProxy proxy) {
        classesByProxy.remove(proxy);
    }

    /**
     * Returns this batch's changes for the proxies that use the table for exactly these classes.
     */
    TableUpdate sharedChanges(BitSet classes) {
        return sharedChanges.computeIfAbsent(classes, TableUpdate::changes);
    }

    /** Ends the batch. Later changes are added to new updates. */
    void endBatch() {
        sharedChanges.clear();
    }

    /**
     * Returns this batch's updates for the bound proxies whose request classes match, each update
     * once. An update has either changes, which several proxies share, or the whole table.
     */
    private Set<TableUpdate> pendingUpdates(Predicate<BitSet> isAffected) {
        Set<TableUpdate> updates = new LinkedHashSet<>();
        classesByProxy.forEach(
                (proxy, classes) -> {
                    if (isAffected.test(classes)) {
                        updates.add(proxy.pendingUpdate(this, classes));
                    }
                });
        return updates;
    }

    /**
     * Returns an update with the whole table as ordered. Entries are left out if their endpoint has
     * left the list and the removal of the entry is not ordered yet.
     */
    private TableUpdate wholeTableFor(BitSet classes) {
        TableUpdate update = TableUpdate.wholeTable(classes);
        weights.forEach(
                (endpoint, weight) -> {
                    if (isAvailable.test(endpoint)) {
                        update.setWeight(endpoint, weight);
                    }
                });
        admissionByClass.forEach(
                (classIndex, admission) -> {
                    if (classes.get(classIndex)) {
                        update.setAdmission(classIndex, admission);
                    }
                });
        return update;
    }
}
