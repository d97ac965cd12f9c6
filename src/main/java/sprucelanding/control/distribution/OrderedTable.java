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

/** One table as ordered, and the proxies that are bound to it. */
final class OrderedTable {
    /** Whether an endpoint may be given requests. */
    private final Predicate<Endpoint> available;

    private final Map<Endpoint, Double> weights = new LinkedHashMap<>();
    private final Map<Integer, TableUpdate.AdmissionLevel> admissionByClass = new TreeMap<>();

    /** The request classes for which each bound proxy uses the table. A set is never modified. */
    private final Map<ConnectedProxy, BitSet> classesByProxy = new LinkedHashMap<>();

    /** This batch's changes, by the request classes of the proxies that get them. */
    private final Map<BitSet, TableUpdate> sharedChanges = new HashMap<>();

    OrderedTable(Predicate<Endpoint> available) {
        this.available = available;
    }

    /** The endpoints that have an entry, in the order of their first one. */
    Set<Endpoint> endpoints() {
        return weights.keySet();
    }

    boolean contains(Endpoint endpoint) {
        return weights.containsKey(endpoint);
    }

    boolean hasBoundProxies() {
        return !classesByProxy.isEmpty();
    }

    /** Sets an endpoint's weight, here and at the bound proxies; 0 removes the entry. */
    void setWeight(Endpoint endpoint, double weight) {
        if (weight > 0) {
            weights.put(endpoint, weight);
        } else {
            weights.remove(endpoint);
        }
        pendingUpdates(classes -> true).forEach(update -> update.setWeight(endpoint, weight));
    }

    /** Sets a request class's admission, here and at the proxies bound for that class. */
    void setAdmission(int classIndex, TableUpdate.AdmissionLevel admission) {
        admissionByClass.put(classIndex, admission);
        pendingUpdates(classes -> classes.get(classIndex))
                .forEach(update -> update.setAdmission(classIndex, admission));
    }

    /** Removes all entries and admissions; the bound proxies are sent an empty table. */
    void clear() {
        weights.clear();
        admissionByClass.clear();
        sharedChanges.clear();
        classesByProxy.forEach(
                (proxy, classes) -> proxy.replaceUpdate(this, TableUpdate.wholeTable(classes)));
    }

    /** Drops the entries of endpoints that no order will name again, without telling proxies. */
    void forget(Predicate<Endpoint> removed) {
        weights.keySet().removeIf(removed);
    }

    /** Binds a proxy for these request classes also, and has the whole table sent to it. */
    void bind(ConnectedProxy proxy, BitSet classes) {
        BitSet allClasses = (BitSet) classesByProxy.getOrDefault(proxy, new BitSet()).clone();
        allClasses.or(classes);
        classesByProxy.put(proxy, allClasses);
        proxy.replaceUpdate(this, wholeTableFor(allClasses));
    }

    /** Unbinds a proxy for one request class; it is sent the whole table for those that remain. */
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

    /** Unbinds a proxy that left. */
    void unbind(ConnectedProxy proxy) {
        classesByProxy.remove(proxy);
    }

    /** This batch's changes for the proxies that use the table for exactly these classes. */
    TableUpdate sharedChanges(BitSet classes) {
        return sharedChanges.computeIfAbsent(classes, TableUpdate::changes);
    }

    /** Ends the batch: later changes go into new updates. */
    void endBatch() {
        sharedChanges.clear();
    }

    /**
     * The updates of this batch for the bound proxies that use the table for such classes, each
     * once: changes that several proxies share, and whole tables.
     */
    private Set<TableUpdate> pendingUpdates(Predicate<BitSet> affected) {
        Set<TableUpdate> updates = new LinkedHashSet<>();
        classesByProxy.forEach(
                (proxy, classes) -> {
                    if (affected.test(classes)) {
                        updates.add(proxy.pendingUpdate(this, classes));
                    }
                });
        return updates;
    }

    /**
     * The whole table as ordered, but for endpoints that left the list and whose removal from the
     * table is not ordered yet.
     */
    private TableUpdate wholeTableFor(BitSet classes) {
        TableUpdate update = TableUpdate.wholeTable(classes);
        weights.forEach(
                (endpoint, weight) -> {
                    if (available.test(endpoint)) {
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
