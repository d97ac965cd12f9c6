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
 * A proxy whose stream is joined: the table that it uses for each request class, the ejections that
 * it was sent on this stream, and what the next message to it holds.
 */
final class ConnectedProxy {
    private final int proxyId;

    /** Whether it joined with tables, perhaps with ejections of another governor in force. */
    private final boolean hadPriorTables;

    /** By request class; null while the proxy uses what it joined with. */
    private final OrderedTable[] tableByClass;

    private final Map<OrderedTable, TableUpdate> pendingTables = new LinkedHashMap<>();

    /** Endpoints whose ejection was ordered for it on this stream, sent or pending. */
    private final Set<Endpoint> ejected = new LinkedHashSet<>();

    private final Set<Endpoint> pendingEjections = new LinkedHashSet<>();
    private final Set<Endpoint> pendingRestores = new LinkedHashSet<>();

    ConnectedProxy(int proxyId, boolean hadPriorTables, int requestClassCount) {
        this.proxyId = proxyId;
        this.hadPriorTables = hadPriorTables;
        this.tableByClass = new OrderedTable[requestClassCount];
    }

    boolean hadPriorTables() {
        return hadPriorTables;
    }

    /** From now on it uses this table for these request classes. */
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

    /** Unbinds it from all tables: its stream ended. */
    void unbindAll() {
        for (OrderedTable table : tableByClass) {
            if (table != null) {
                table.unbind(this);
            }
        }
    }

    /** Whether it uses a table that was not ordered here, or one that holds the endpoint. */
    boolean mayRouteTo(Endpoint endpoint) {
        for (OrderedTable table : tableByClass) {
            if (table == null || table.contains(endpoint)) {
                return true;
            }
        }
        return false;
    }

    /** Whether an ejection of the endpoint may be in force at it, whoever ordered that. */
    boolean mayHoldEjectionOf(Endpoint endpoint) {
        return hadPriorTables || ejected.contains(endpoint);
    }

    /** Has an ejection sent, unless the proxy was sent it on this stream and holds it still. */
    void eject(Endpoint endpoint) {
        if (ejected.add(endpoint) && (!pendingRestores.remove(endpoint) || hadPriorTables)) {
            pendingEjections.add(endpoint);
        }
    }

    /**
     * Has a restore sent, unless that only undoes an ejection which was not sent yet. A proxy with
     * prior tables is sent it even so: another governor may have ejected the endpoint there.
     */
    void restore(Endpoint endpoint) {
        ejected.remove(endpoint);
        if (!pendingEjections.remove(endpoint) || hadPriorTables) {
            pendingRestores.add(endpoint);
        }
    }

    /** Drops the ejections of endpoints that no order will name again. */
    void forget(Predicate<Endpoint> removed) {
        ejected.removeIf(removed);
    }

    /** The pending update of a table; the shared changes of these classes if there was none. */
    TableUpdate pendingUpdate(OrderedTable table, BitSet classes) {
        return pendingTables.computeIfAbsent(table, key -> key.sharedChanges(classes));
    }

    /** Has this update of a table sent in place of the pending one, at the place of that. */
    void replaceUpdate(OrderedTable table, TableUpdate update) {
        pendingTables.put(table, update);
    }

    /** Drops the pending update of a table. */
    void cancelUpdate(OrderedTable table) {
        pendingTables.remove(table);
    }

    /** Whether there is nothing to send. */
    boolean isUpToDate() {
        return pendingTables.isEmpty() && pendingEjections.isEmpty() && pendingRestores.isEmpty();
    }

    /** Takes what is pending as one message. */
    ProxyUpdate takeUpdate(int acknowledgementId) {
        ProxyUpdate update =
                new ProxyUpdate(
                        proxyId,
                        List.copyOf(pendingTables.values()),
                        List.copyOf(pendingEjections),
                        List.copyOf(pendingRestores),
                        acknowledgementId);
        pendingTables.clear();
        pendingEjections.clear();
        pendingRestores.clear();
        return update;
    }
}
