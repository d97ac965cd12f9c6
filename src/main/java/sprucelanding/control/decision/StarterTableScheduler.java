package sprucelanding.control.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Sends starter tables before proxies are bound to them, and refills starter tables in use. */
final class StarterTableScheduler {
    private final SplittableRandom random;
    private final RoutingTables tables;
    private final StarterTables starterTables;
    private final WeightPolicy weights;
    private final AdmissionScheduler admissions;

    StarterTableScheduler(
            SplittableRandom random,
            RoutingTables tables,
            StarterTables starterTables,
            WeightPolicy weights,
            AdmissionScheduler admissions) {
        this.random = random;
        this.tables = tables;
        this.starterTables = starterTables;
        this.weights = weights;
        this.admissions = admissions;
    }

    /**
     * Orders the next entry or admission level of a starter table without users. Such an order
     * costs nothing in the channel.
     *
     * @return whether an order was given; false if all starter tables are sent
     */
    boolean sendNext(ControllerOutput output) {
        for (RoutingTable table : starterTables.unsentTables()) {
            if (sendEntry(table, output) || admissions.sendFirst(table, output)) {
                return true;
            }
            starterTables.sentCompletely(table);
        }
        return false;
    }

    private boolean sendEntry(RoutingTable table, ControllerOutput output) {
        if (table.isCleared() || !table.users().isEmpty()) {
            return false;
        }
        for (TableEntry entry : table.entries()) {
            double weight = weights.effectiveWeight(entry);
            if (entry.sentWeight() != weight) {
                entry.markSent(weight);
                output.setWeight(table.number(), entry.endpoint(), weight);
                return true;
            }
        }
        return false;
    }

    /** Refills the starter tables that have users, after an update of the endpoint list. */
    void refill(List<Endpoint> available) {
        for (RoutingTable table : tables.all()) {
            if (table.isStarter() && !table.users().isEmpty()) {
                refill(table, available);
            }
        }
    }

    /** Adds random endpoints to a starter table that has lost half of its endpoints. */
    private void refill(RoutingTable table, List<Endpoint> available) {
        int size = starterTables.tableSize();
        int missing = size - (int) weights.activeEntryCount(table);
        if (2 * missing < size) {
            return;
        }
        List<Endpoint> others = new ArrayList<>(available);
        others.removeIf(
                endpoint ->
                        table.hasEntryOf(endpoint)
                                || weights.effectiveWeight(table.fullTable().entryOf(endpoint)) == 0
                                || !table.accepts(endpoint));
        for (; missing > 0 && !others.isEmpty(); missing--) {
            table.addFromFullTable(others.remove(random.nextInt(others.size())));
        }
    }
}
