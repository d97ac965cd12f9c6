package sprucelanding.control.decision;

import sprucelanding.control.decision.ChannelBudget.Purpose;

/**
 * Clears tables that no proxy uses any more. Otherwise proxies that used such a table would keep
 * connections open for its entries.
 */
final class UnusedTableCleaner {
    private final RoutingTables tables;
    private final StarterTables starterTables;
    private final ChannelBudget channel;
    private final Runnable whenCleared;

    /**
     * Creates a cleaner.
     *
     * @param whenCleared called when a table is about to be cleared
     */
    UnusedTableCleaner(
            RoutingTables tables,
            StarterTables starterTables,
            ChannelBudget channel,
            Runnable whenCleared) {
        this.tables = tables;
        this.starterTables = starterTables;
        this.channel = channel;
        this.whenCleared = whenCleared;
    }

    /** Orders the clearing of the next unused table. Returns false if none is unused or fits. */
    boolean sendNext(ControllerOutput output) {
        for (RoutingTable table : tables.all()) {
            if (isUnused(table) && book(table)) {
                whenCleared.run();
                output.clearTable(table.number());
                table.cleared();
                tables.removeUnlessFull(table);
                return true;
            }
        }
        return false;
    }

    private boolean isUnused(RoutingTable table) {
        if (table.isCleared() || !table.users().isEmpty()) {
            return false;
        }
        if (table.isStarter()) {
            return !starterTables.isInUse(table);
        }
        RoutingTable fullTable = table.fullTable();
        boolean isCurrent =
                fullTable.subsets().contains(table)
                        || table.isFull() && fullTable.subsets().isEmpty();
        return !isCurrent;
    }

    private boolean book(RoutingTable table) {
        return channel.book(
                isToldToUsersOnly(table) ? table.users() : table.receivers(),
                1,
                ChannelPriority.URGENT,
                Purpose.CLEAR);
    }

    /** Returns whether the clearing reaches only the users of the table, which has none. */
    private boolean isToldToUsersOnly(RoutingTable table) {
        return table.isStarter() || channel.held().isEnabled();
    }
}
