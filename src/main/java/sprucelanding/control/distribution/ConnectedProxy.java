package sprucelanding.control.distribution;

import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import sprucelanding.control.decision.Endpoint;

/**
 * The state of a proxy with an open stream: the table that the proxy uses for each request class,
 * the ejections that were ordered for the proxy on this stream, and the content of the next update.
 */
final class ConnectedProxy {
    private final int proxyId;

    /**
     * Whether the proxy joined with tables. Ejections by another governor may be in force at such a
     * proxy.
     */
    private final boolean hadPriorTables;

    /** Tables by request class; null while the proxy uses the table that it joined with, if any. */
    private final OrderedTable[] tableByClass;

    private final Map<OrderedTable, TableUpdate> pendingUpdatesByTable = new LinkedHashMap<>();

    /** Endpoints whose ejection was ordered for the proxy on this stream, sent or pending. */
    private final Set<Endpoint> ejected = new LinkedHashSet<>();

    private final Set<Endpoint> pendingEjections = new LinkedHashSet<>();
    private final Set<Endpoint> pendingRestorations = new LinkedHashSet<>();

    ConnectedProxy(int proxyId, boolean hadPriorTables, int requestClassCount) {
        this.proxyId = proxyId;
        this.hadPriorTables = hadPriorTables;
        this.tableByClass = new OrderedTable[requestClassCount];
    }

    boolean hadPriorTables() {
        return hadPriorTables;
    }

    /** Binds the proxy to a table for the given request classes. */
    void bind(OrderedTable table, BitSet classes) {
        for (int classIndex = classes.nextSetBit(0);
                classIndex >= 0;
                classIndex = classes.nextSetBit(classIndex + 1)) {
            OrderedTable previous = tableByClass[classIndex];
            tableByClass[classIndex] = table;
            if (previous != null && previous != table) {
                previous.unbind(this, classIndex);
            }
        }
        table.bind(this, classes);
    }

    /** Unbinds the proxy from all tables, because its stream has ended. */
    void unbindAll() {
        for (OrderedTable table : tableByClass) {
            if (table != null) {
                table.unbind(this);
            }
        }
    }

    /**
     * Returns whether the proxy uses a table with an entry for the endpoint, or a table that was
     * not ordered here and may have such an entry.
     */
    boolean mayRouteTo(Endpoint endpoint) {
        for (OrderedTable table : tableByClass) {
            if (table == null || table.contains(endpoint)) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether an ejection of the endpoint by any governor may be in force at the proxy. */
    boolean mayHoldEjectionOf(Endpoint endpoint) {
        return hadPriorTables || ejected.contains(endpoint);
    }

    /**
     * Adds an ejection to the next update, unless the proxy was sent the ejection on this stream
     * and still holds it.
     */
    void eject(Endpoint endpoint) {
        if (ejected.add(endpoint) && (!pendingRestorations.remove(endpoint) || hadPriorTables)) {
            pendingEjections.add(endpoint);
        }
    }

    /**
     * Adds a restoration to the next update, or only cancels the ejection if that was not sent yet.
     * A proxy with prior tables is sent the restoration in any case, because another governor may
     * have ejected the endpoint at that proxy.
     */
    void restore(Endpoint endpoint) {
        ejected.remove(endpoint);
        if (!pendingEjections.remove(endpoint) || hadPriorTables) {
            pendingRestorations.add(endpoint);
        }
    }

    /** Discards the ejections of endpoints that no order will name again. */
    void discardEndpoints(Predicate<Endpoint> removed) {
        ejected.removeIf(removed);
    }

    /**
     * Returns the pending update of a table. If there is none, the update with the table's changes
     * for these request classes becomes the pending one; proxies share that update.
     */
    TableUpdate pendingUpdate(OrderedTable table, BitSet classes) {
        return pendingUpdatesByTable.computeIfAbsent(table, key -> key.sharedChanges(classes));
    }

    /** Replaces the pending update of a table, which keeps its position in the message. */
    void replaceUpdate(OrderedTable table, TableUpdate update) {
        pendingUpdatesByTable.put(table, update);
    }

    /** Removes the pending update of a table. */
    void cancelUpdate(OrderedTable table) {
        pendingUpdatesByTable.remove(table);
    }

    /**
     * Keeps what is pending for a later message. The changes of tables, which other proxies share,
     * become this proxy's own, since later orders are added to them.
     */
    void holdUpdate() {
        pendingUpdatesByTable.replaceAll((table, update) -> update.copy());
    }

    /** Returns whether there is nothing to send. */
    boolean isUpToDate() {
        return pendingUpdatesByTable.isEmpty()
                && pendingEjections.isEmpty()
                && pendingRestorations.isEmpty();
    }

    /** Removes everything that is pending and returns it as one message. */
    ProxyUpdate takeUpdate(int acknowledgementId) {
        ProxyUpdate update =
                new ProxyUpdate(
                        proxyId,
                        List.copyOf(pendingUpdatesByTable.values()),
                        List.copyOf(pendingEjections),
                        List.copyOf(pendingRestorations),
                        acknowledgementId);
        pendingUpdatesByTable.clear();
        pendingEjections.clear();
        pendingRestorations.clear();
        return update;
    }
}
