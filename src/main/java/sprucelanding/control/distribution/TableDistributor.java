package sprucelanding.control.distribution;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
import sprucelanding.control.decision.Endpoint;
import sprucelanding.control.decision.Proxy;
import sprucelanding.control.decision.RequestClass;

/**
 * Tables, levels, withdrawals and bindings as they were ordered, and what of it each joined proxy
 * is still to be sent.
 */
public final class TableDistributor {
    /**
     * One table as ordered, and this moment's change of it for those on it, by the products they
     * take from it.
     */
    private static final class OrderedTable {
        final Map<Endpoint, Double> weights = new LinkedHashMap<>();
        final Map<Integer, TableUpdate.AdmissionLevel> admissionByClass = new TreeMap<>();
        final Map<ConnectedProxy, BitSet> classesByProxy = new LinkedHashMap<>();
        final Map<BitSet, TableUpdate> sharedChanges = new HashMap<>();
    }

    /** A joined proxy: the table it goes by for each product, and this moment's message to it. */
    private static final class ConnectedProxy {
        final int proxyId;

        /**
         * It brought more than it started with, perhaps withdrawals of another governor among it.
         */
        final boolean hadPriorTables;

        final OrderedTable[] tableByClass;
        final Map<OrderedTable, TableUpdate> pendingTables = new LinkedHashMap<>();
        final Set<Endpoint> ejected = new LinkedHashSet<>();
        final Set<Endpoint> pendingEjections = new LinkedHashSet<>();
        final Set<Endpoint> pendingRestores = new LinkedHashSet<>();

        ConnectedProxy(int proxyId, boolean hadPriorTables, int requestClassCount) {
            this.proxyId = proxyId;
            this.hadPriorTables = hadPriorTables;
            this.tableByClass = new OrderedTable[requestClassCount];
        }

        /** A table that it goes by is not ours, or holds the replica. */
        boolean mayRouteTo(Endpoint endpoint) {
            for (OrderedTable table : tableByClass) {
                if (table == null || table.weights.containsKey(endpoint)) {
                    return true;
                }
            }
            return false;
        }

        boolean isUpToDate() {
            return pendingTables.isEmpty()
                    && pendingEjections.isEmpty()
                    && pendingRestores.isEmpty();
        }
    }

    private final int requestClassCount;
    private final Map<Integer, OrderedTable> tablesById = new HashMap<>();
    private final TreeMap<Integer, ConnectedProxy> proxiesById = new TreeMap<>();
    private final Set<Endpoint> ejectedEndpoints = new LinkedHashSet<>();
    private final Predicate<Endpoint> possiblyEjectedElsewhere;

    /** Whether an endpoint may be given requests; none else enters a table, whoever orders it. */
    private final Predicate<Endpoint> available;

    private long rejectedEntries;
    private int acknowledgementId = ProxyUpdate.NO_ACKNOWLEDGEMENT;

    /** Without a guard against endpoints that left: for hosts that have none to ask. */
    public TableDistributor(int requestClassCount, Predicate<Endpoint> possiblyEjectedElsewhere) {
        this(requestClassCount, possiblyEjectedElsewhere, endpoint -> true);
    }

    /**
     * Creates the bookkeeping for proxies without tables.
     *
     * @param products how many request classes there are
     * @param doubtful endpoints that were away from the list at some time, so that another governor
     *     may have withdrawn them
     * @param ready endpoints that may be given requests
     */
    public TableDistributor(
            int requestClassCount,
            Predicate<Endpoint> possiblyEjectedElsewhere,
            Predicate<Endpoint> available) {
        this.requestClassCount = requestClassCount;
        this.possiblyEjectedElsewhere = possiblyEjectedElsewhere;
        this.available = available;
    }

    /**
     * Orders so far that would have given requests to an endpoint that left the list; none of them
     * was carried out.
     */
    public long rejectedEntries() {
        return rejectedEntries;
    }

    /**
     * A proxy's stream began; an earlier one of the same proxy is left by that. Bare: it brought no
     * ordered table.
     */
    public void proxyJoined(int proxyId, boolean withoutTables) {
        proxyLeft(proxyId);
        proxiesById.put(proxyId, new ConnectedProxy(proxyId, !withoutTables, requestClassCount));
    }

    public void proxyLeft(int proxyId) {
        ConnectedProxy departed = proxiesById.remove(proxyId);
        if (departed != null) {
            for (OrderedTable table : departed.tableByClass) {
                if (table != null) {
                    table.classesByProxy.remove(departed);
                }
            }
        }
    }

    /** As Orders.line has it. */
    public void setWeight(int tableId, Endpoint endpoint, double weight) {
        OrderedTable orderedTable = tableOf(tableId);
        if (weight > 0 && !available.test(endpoint)) {
            rejectedEntries++;
            return;
        }
        if (weight > 0) {
            orderedTable.weights.put(endpoint, weight);
        } else {
            orderedTable.weights.remove(endpoint);
        }
        changesFor(orderedTable, classes -> true)
                .forEach(update -> update.setWeight(endpoint, weight));
    }

    /** As Orders.level has it. */
    public void setAdmission(
            int tableId, RequestClass requestClass, double admittedShare, int retryPolicy) {
        OrderedTable orderedTable = tableOf(tableId);
        TableUpdate.AdmissionLevel admission =
                new TableUpdate.AdmissionLevel(admittedShare, retryPolicy);
        orderedTable.admissionByClass.put(requestClass.index, admission);
        changesFor(orderedTable, classes -> classes.get(requestClass.index))
                .forEach(update -> update.admissionByClass.put(requestClass.index, admission));
    }

    /** As Orders.clear has it: those still on the table hold an empty one. */
    public void clearTable(int tableId) {
        OrderedTable orderedTable = tablesById.get(tableId);
        if (orderedTable == null) {
            return;
        }
        orderedTable.weights.clear();
        orderedTable.admissionByClass.clear();
        orderedTable.sharedChanges.clear();
        orderedTable.classesByProxy.forEach(
                (member, classes) ->
                        member.pendingTables.put(orderedTable, new TableUpdate(classes, true)));
        if (orderedTable.classesByProxy.isEmpty()) {
            tablesById.remove(tableId);
        }
    }

    /** As Orders.bind has it; nothing if the proxy has left. */
    public void bindProxy(int tableId, Proxy proxy, BitSet classes) {
        ConnectedProxy member = proxiesById.get(proxy.id);
        if (member == null) {
            return;
        }
        OrderedTable orderedTable = tableOf(tableId);
        BitSet allClasses =
                (BitSet) orderedTable.classesByProxy.getOrDefault(member, new BitSet()).clone();
        allClasses.or(classes);
        for (int classIndex = classes.nextSetBit(0);
                classIndex >= 0;
                classIndex = classes.nextSetBit(classIndex + 1)) {
            OrderedTable previous = member.tableByClass[classIndex];
            member.tableByClass[classIndex] = orderedTable;
            if (previous != null && previous != orderedTable) {
                BitSet remaining = (BitSet) previous.classesByProxy.get(member).clone();
                remaining.clear(classIndex);
                member.pendingTables.remove(previous);
                if (remaining.isEmpty()) {
                    previous.classesByProxy.remove(member);
                } else {
                    previous.classesByProxy.put(member, remaining);
                    sendWholeTable(previous, member, remaining);
                }
            }
        }
        orderedTable.classesByProxy.put(member, allClasses);
        sendWholeTable(orderedTable, member, allClasses);
        for (Endpoint endpoint : orderedTable.weights.keySet()) {
            if (!available.test(endpoint)) {
                continue; // its line was not laid
            }
            if (ejectedEndpoints.contains(endpoint)) {
                eject(member, endpoint);
            } else if (member.hadPriorTables && possiblyEjectedElsewhere.test(endpoint)) {
                restore(member, endpoint);
            }
        }
    }

    /** As Orders.withdraw has it. */
    public void setEjected(Endpoint endpoint, boolean ejected) {
        if (ejected) {
            ejectedEndpoints.add(endpoint);
        } else {
            ejectedEndpoints.remove(endpoint);
        }
        for (ConnectedProxy member : proxiesById.values()) {
            if (ejected && member.mayRouteTo(endpoint)) {
                eject(member, endpoint);
            } else if (!ejected && (member.hadPriorTables || member.ejected.contains(endpoint))) {
                restore(member, endpoint);
            }
        }
    }

    /** Whether a table that was ordered has a line of that replica. */
    public boolean hasEntryFor(long endpointId) {
        return tablesById.values().stream()
                .anyMatch(
                        table ->
                                table.weights.keySet().stream()
                                        .anyMatch(endpoint -> endpoint.id == endpointId));
    }

    /** No list and no order will name these again. */
    public void forget(Predicate<Endpoint> removed) {
        ejectedEndpoints.removeIf(removed);
        proxiesById.values().forEach(member -> member.ejected.removeIf(removed));
        tablesById.values().forEach(table -> table.weights.keySet().removeIf(removed));
    }

    /** As Orders.receipt has it, for the messages of this moment. */
    public void requestAcknowledgement(int requestedId) {
        acknowledgementId = requestedId;
    }

    /**
     * Ends the moment: one update for each joined proxy that is concerned, in the order of their
     * numbers.
     */
    public void flush(Consumer<ProxyUpdate> sink) {
        List<ProxyUpdate> updates = new ArrayList<>();
        for (ConnectedProxy member : proxiesById.values()) {
            if (!member.isUpToDate()) {
                updates.add(
                        new ProxyUpdate(
                                member.proxyId,
                                List.copyOf(member.pendingTables.values()),
                                List.copyOf(member.pendingEjections),
                                List.copyOf(member.pendingRestores),
                                acknowledgementId));
                member.pendingTables.clear();
                member.pendingEjections.clear();
                member.pendingRestores.clear();
            }
        }
        tablesById.values().forEach(table -> table.sharedChanges.clear());
        acknowledgementId = ProxyUpdate.NO_ACKNOWLEDGEMENT;
        updates.forEach(sink);
    }

    private OrderedTable tableOf(int tableId) {
        return tablesById.computeIfAbsent(tableId, id -> new OrderedTable());
    }

    /**
     * This moment's parts for those on the table who take such products from it, each once: shared
     * changes, whole tables.
     */
    private static Set<TableUpdate> changesFor(OrderedTable table, Predicate<BitSet> affects) {
        Set<TableUpdate> updates = new LinkedHashSet<>();
        table.classesByProxy.forEach(
                (member, classes) -> {
                    if (affects.test(classes)) {
                        updates.add(
                                member.pendingTables.computeIfAbsent(
                                        table,
                                        orderedTable ->
                                                table.sharedChanges.computeIfAbsent(
                                                        classes,
                                                        sharedClasses ->
                                                                new TableUpdate(
                                                                        sharedClasses, false))));
                    }
                });
        return updates;
    }

    /**
     * The whole table as it stands, but for endpoints that left and whose removal from it is not
     * ordered yet.
     */
    private void sendWholeTable(OrderedTable table, ConnectedProxy member, BitSet classes) {
        TableUpdate update = new TableUpdate(classes, true);
        table.weights.forEach(
                (endpoint, weight) -> {
                    if (available.test(endpoint)) {
                        update.weights.put(endpoint, weight);
                    }
                });
        table.admissionByClass.forEach(
                (classIndex, admission) -> {
                    if (classes.get(classIndex)) {
                        update.admissionByClass.put(classIndex, admission);
                    }
                });
        member.pendingTables.put(table, update);
    }

    private static void eject(ConnectedProxy member, Endpoint endpoint) {
        if (member.ejected.add(endpoint)
                && (!member.pendingRestores.remove(endpoint) || member.hadPriorTables)) {
            member.pendingEjections.add(endpoint);
        }
    }

    private static void restore(ConnectedProxy member, Endpoint endpoint) {
        member.ejected.remove(endpoint);
        if (!member.pendingEjections.remove(endpoint) || member.hadPriorTables) {
            member.pendingRestores.add(endpoint);
        }
    }
}
