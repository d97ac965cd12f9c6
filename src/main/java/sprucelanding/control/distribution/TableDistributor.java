package sprucelanding.control.distribution;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.IntPredicate;
import java.util.function.Predicate;
import sprucelanding.control.decision.ControllerOutput;
import sprucelanding.control.decision.Endpoint;
import sprucelanding.control.decision.Proxy;
import sprucelanding.control.decision.RequestClass;

/**
 * A store of tables, admission levels, ejections and bindings as they were ordered. It derives the
 * updates that each connected proxy must still be sent.
 *
 * <p>Orders accumulate until {@link #flush}, which ends their batch. The class is not synchronized
 * and must be called by one thread only.
 */
public final class TableDistributor {
    private final int requestClassCount;
    private final Map<Integer, OrderedTable> tablesById = new HashMap<>();
    private final TreeMap<Integer, ConnectedProxy> proxiesById = new TreeMap<>();
    private final Set<Endpoint> ejectedEndpoints = new LinkedHashSet<>();
    private final Predicate<Endpoint> possiblyEjectedElsewhere;

    /**
     * Tells whether an endpoint may receive requests. Other endpoints are not added to tables, even
     * if the controller orders it.
     */
    private final Predicate<Endpoint> isAvailable;

    private long rejectedEntries;
    private int acknowledgementId = ProxyUpdate.NO_ACKNOWLEDGEMENT;

    /**
     * Creates an empty distributor for a host without an endpoint list. Every endpoint is taken to
     * be available.
     *
     * @param requestClassCount number of request classes
     * @param possiblyEjectedElsewhere matches endpoints that were missing from the list at some
     *     time, so that another governor may have ejected them
     */
    public TableDistributor(int requestClassCount, Predicate<Endpoint> possiblyEjectedElsewhere) {
        this(requestClassCount, possiblyEjectedElsewhere, endpoint -> true);
    }

    /**
     * Creates a distributor without tables and proxies.
     *
     * @param requestClassCount number of request classes
     * @param possiblyEjectedElsewhere matches endpoints that were missing from the list at some
     *     time, so that another governor may have ejected them
     * @param isAvailable matches endpoints that may receive requests
     */
    public TableDistributor(
            int requestClassCount,
            Predicate<Endpoint> possiblyEjectedElsewhere,
            Predicate<Endpoint> isAvailable) {
        this.requestClassCount = requestClassCount;
        this.possiblyEjectedElsewhere = possiblyEjectedElsewhere;
        this.isAvailable = isAvailable;
    }

    /**
     * Returns the number of rejected orders so far: weights above 0 for endpoints that have left
     * the list.
     */
    public long rejectedEntries() {
        return rejectedEntries;
    }

    /**
     * Adds a proxy whose stream has begun. An earlier stream of the same proxy is taken to have
     * ended.
     *
     * @param withoutTables whether the proxy joined without any ordered table
     */
    public void proxyJoined(int proxyId, boolean withoutTables) {
        proxyLeft(proxyId);
        proxiesById.put(proxyId, new ConnectedProxy(proxyId, !withoutTables, requestClassCount));
    }

    /** Removes a proxy whose stream has ended; does nothing if the proxy had no stream. */
    public void proxyLeft(int proxyId) {
        ConnectedProxy departedProxy = proxiesById.remove(proxyId);
        if (departedProxy != null) {
            departedProxy.unbindAll();
        }
    }

    /**
     * Sets a weight, see {@link ControllerOutput#setWeight}. A weight above 0 is rejected if the
     * endpoint is not available.
     */
    public void setWeight(int tableId, Endpoint endpoint, double weight) {
        OrderedTable table = findOrCreateTable(tableId);
        if (weight > 0 && !isAvailable.test(endpoint)) {
            rejectedEntries++;
            return;
        }
        table.setWeight(endpoint, weight);
    }

    /** Sets a request class's admission level, see {@link ControllerOutput#setAdmission}. */
    public void setAdmission(
            int tableId, RequestClass requestClass, double admittedShareOrRate, int retryPolicy) {
        findOrCreateTable(tableId)
                .setAdmission(
                        requestClass.index,
                        new TableUpdate.AdmissionLevel(admittedShareOrRate, retryPolicy));
    }

    /**
     * Clears a table, see {@link ControllerOutput#clearTable}. The proxies that are bound to the
     * table are sent an empty table.
     */
    public void clearTable(int tableId) {
        OrderedTable table = tablesById.get(tableId);
        if (table == null) {
            return;
        }
        table.clear();
        if (!table.hasBoundProxies()) {
            tablesById.remove(tableId);
        }
    }

    /**
     * Binds a proxy, see {@link ControllerOutput#bindProxy}; does nothing if the proxy has left.
     */
    public void bindProxy(int tableId, Proxy proxy, BitSet classes) {
        ConnectedProxy connectedProxy = proxiesById.get(proxy.id);
        if (connectedProxy == null) {
            return;
        }
        OrderedTable table = findOrCreateTable(tableId);
        connectedProxy.bind(table, classes);
        for (Endpoint endpoint : table.endpoints()) {
            // unavailable endpoints were left out of the table that is sent
            if (isAvailable.test(endpoint)) {
                updateEjection(connectedProxy, endpoint);
            }
        }
    }

    /** Adds to a proxy's update whether an endpoint of the newly bound table is ejected. */
    private void updateEjection(ConnectedProxy connectedProxy, Endpoint endpoint) {
        if (ejectedEndpoints.contains(endpoint)) {
            connectedProxy.eject(endpoint);
        } else if (connectedProxy.hadPriorTables() && possiblyEjectedElsewhere.test(endpoint)) {
            connectedProxy.restore(endpoint);
        }
    }

    /** Ejects or restores an endpoint, see {@link ControllerOutput#setEjected}. */
    public void setEjected(Endpoint endpoint, boolean ejected) {
        if (ejected) {
            eject(endpoint);
        } else {
            restore(endpoint);
        }
    }

    private void eject(Endpoint endpoint) {
        ejectedEndpoints.add(endpoint);
        for (ConnectedProxy connectedProxy : proxiesById.values()) {
            if (connectedProxy.mayRouteTo(endpoint)) {
                connectedProxy.eject(endpoint);
            }
        }
    }

    private void restore(Endpoint endpoint) {
        ejectedEndpoints.remove(endpoint);
        for (ConnectedProxy connectedProxy : proxiesById.values()) {
            if (connectedProxy.mayHoldEjectionOf(endpoint)) {
                connectedProxy.restore(endpoint);
            }
        }
    }

    /**
     * Restores an endpoint at some proxies, see {@link ControllerOutput#restoreAt}; does nothing at
     * proxies that have left.
     */
    public void restoreAt(Endpoint endpoint, Collection<Proxy> proxies) {
        for (Proxy proxy : proxies) {
            ConnectedProxy connectedProxy = proxiesById.get(proxy.id);
            if (connectedProxy != null) {
                connectedProxy.restore(endpoint);
            }
        }
    }

    /** Returns whether any ordered table has an entry for the endpoint. */
    public boolean hasEntryFor(long endpointId) {
        for (OrderedTable table : tablesById.values()) {
            for (Endpoint endpoint : table.endpoints()) {
                if (endpoint.id == endpointId) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Discards the state of endpoints that no list and no order will name again. */
    public void discardEndpoints(Predicate<Endpoint> removed) {
        ejectedEndpoints.removeIf(removed);
        proxiesById.values().forEach(connectedProxy -> connectedProxy.discardEndpoints(removed));
        tablesById.values().forEach(table -> table.discardEndpoints(removed));
    }

    /**
     * Requests an acknowledgement of the messages of this batch, see {@link
     * ControllerOutput#requestAcknowledgement}.
     */
    public void requestAcknowledgement(int requestedAcknowledgementId) {
        acknowledgementId = requestedAcknowledgementId;
    }

    /** Ends the batch and passes on all its updates, see {@link #flush(IntPredicate, Consumer)}. */
    public void flush(Consumer<ProxyUpdate> sink) {
        flush(proxyId -> false, sink);
    }

    /**
     * Ends the batch and passes on its updates. What is held for a proxy is part of the next update
     * that is passed on for the proxy.
     *
     * @param isHeld matches the numbers of the proxies whose updates are held
     * @param sink receives one update for each other connected proxy with pending orders, in the
     *     order of the proxies' numbers
     */
    public void flush(IntPredicate isHeld, Consumer<ProxyUpdate> sink) {
        List<ProxyUpdate> updates = new ArrayList<>();
        proxiesById.forEach(
                (proxyId, connectedProxy) -> {
                    if (isHeld.test(proxyId)) {
                        connectedProxy.holdUpdate();
                    } else if (!connectedProxy.isUpToDate()) {
                        updates.add(connectedProxy.takeUpdate(acknowledgementId));
                    }
                });
        tablesById.values().forEach(OrderedTable::endBatch);
        acknowledgementId = ProxyUpdate.NO_ACKNOWLEDGEMENT;
        // must come last, because the sink may report events that lead to new orders
        updates.forEach(sink);
    }

    private OrderedTable findOrCreateTable(int tableId) {
        return tablesById.computeIfAbsent(tableId, id -> new OrderedTable(isAvailable));
    }
}
