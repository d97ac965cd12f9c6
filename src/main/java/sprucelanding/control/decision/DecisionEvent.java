package sprucelanding.control.decision;

import java.util.Map;

/**
 * An event that the controller logs about one of its decisions. Each event has two forms: {@link
 * #logLine()} returns key=value pairs for the log of the governor, and {@link #text()} returns the
 * form that captures contain. The wording of {@code text()} must not change, so that older captures
 * can be compared with new decisions.
 */
public sealed interface DecisionEvent {
    /** Returns the line for the log of the governor: {@code event=name key=value ...}. */
    String logLine();

    /** Returns the text that captures contain. */
    String text();

    /** The reason for which an endpoint is ejected. */
    enum EjectionReason {
        /** The endpoint missed health checks. */
        UNRESPONSIVE("unresponsive"),
        /** The endpoint and most endpoints of its zone missed health checks. */
        ZONE_UNRESPONSIVE("zone_unresponsive"),
        /** The share of failed attempts at the endpoint was far above the share in the fleet. */
        FAILURES("failures"),
        /** The load of the endpoint stayed far above the load of the fleet. */
        OVERLOAD("overload");

        private final String key;

        EjectionReason(String key) {
            this.key = key;
        }
    }

    /**
     * An endpoint was ejected from the tables.
     *
     * @param endpointValue share of failed attempts at the endpoint or load of the endpoint,
     *     depending on the reason; 0 if missed health checks are the reason
     * @param fleetValue the same value for the whole fleet
     */
    record EndpointEjected(
            long endpoint, EjectionReason reason, double endpointValue, double fleetValue)
            implements DecisionEvent {
        @Override
        public String logLine() {
            String line = "event=endpoint_ejected endpoint=" + endpoint + " reason=" + reason.key;
            return switch (reason) {
                case UNRESPONSIVE, ZONE_UNRESPONSIVE -> line;
                case FAILURES, OVERLOAD ->
                        line + " own=" + percent(endpointValue) + " fleet=" + percent(fleetValue);
            };
        }

        @Override
        public String text() {
            String why =
                    switch (reason) {
                        case UNRESPONSIVE -> "no answer to probes";
                        case ZONE_UNRESPONSIVE -> "no answer to probes, nor from its zone";
                        case FAILURES ->
                                "voided " + percent(endpointValue) + ", all " + percent(fleetValue);
                        case OVERLOAD ->
                                "load " + percent(endpointValue) + ", mean " + percent(fleetValue);
                    };
            return "out " + endpoint + ": " + why;
        }
    }

    /** An ejected endpoint was restored because it has recovered. */
    record EndpointRestored(long endpoint) implements DecisionEvent {
        @Override
        public String logLine() {
            return "event=endpoint_restored endpoint=" + endpoint;
        }

        @Override
        public String text() {
            return "back " + endpoint + ": answers";
        }
    }

    /** All endpoints of a table were restored because the table would have been empty. */
    record TableRestored(int table) implements DecisionEvent {
        @Override
        public String logLine() {
            return "event=table_restored table=" + table;
        }

        @Override
        public String text() {
            return "back to the list: no line is left in table " + table;
        }
    }

    /**
     * Tables of another size were assigned to the proxies.
     *
     * @param size number of endpoints in a table; 0 for full tables
     * @param failureShare median share of failed attempts at an endpoint
     */
    record SubsetsResized(int size, double failureShare) implements DecisionEvent {
        @Override
        public String logLine() {
            return "event=subsets_resized size=" + size + " failures=" + percent(failureShare);
        }

        @Override
        public String text() {
            String tables = size == 0 ? "tables whole" : "tables of few servers";
            return tables + ": voided " + percent(failureShare);
        }
    }

    /**
     * Load shedding started or ended.
     *
     * @param isShedding whether some requests are shed
     * @param load mean load of the endpoints
     * @param lateness excess of the mean response time over the normal response time, as a share of
     *     the latency objective
     * @param failureShare share of the attempts that failed
     */
    record OverloadChanged(boolean isShedding, double load, double lateness, double failureShare)
            implements DecisionEvent {
        @Override
        public String logLine() {
            return "event="
                    + (isShedding ? "load_shedding_started" : "load_shedding_ended")
                    + (" load=" + percent(load))
                    + (" lateness=" + percent(lateness))
                    + (" failures=" + percent(failureShare));
        }

        @Override
        public String text() {
            return (isShedding ? "declining: use " : "all let in: use ")
                    + percent(load)
                    + (", late " + percent(lateness))
                    + (", voided " + percent(failureShare));
        }
    }

    /**
     * A removal was not acknowledged by its deadline.
     *
     * @param lateMillis time since the deadline, ms
     */
    record DrainOverdue(DrainTracker.OverdueRemoval overdue, long lateMillis)
            implements DecisionEvent {
        @Override
        public String logLine() {
            return "event=drain_overdue"
                    + (" proxy=" + overdue.proxy())
                    + (" endpoint=" + overdue.endpoint())
                    + (" cause=" + overdue.cause())
                    + (" late_ms=" + lateMillis);
        }

        @Override
        public String text() {
            return logLine();
        }
    }

    /**
     * The orders for one event reached their limit, so that the batch was ended.
     *
     * @param orders number of orders for the event
     * @param endedBatches number of batches so far that were ended in this way
     */
    record OrderLimitReached(long orders, long endedBatches) implements DecisionEvent {
        @Override
        public String logLine() {
            return "event=order_limit_reached orders=" + orders + " ended_batches=" + endedBatches;
        }

        @Override
        public String text() {
            return logLine();
        }
    }

    /** Removals have become overdue since the last event of this type. */
    record DrainViolations(int count, Map<DrainTracker.Cause, Long> byCause)
            implements DecisionEvent {
        @Override
        public String logLine() {
            return "event=drain_violations new=" + count + " by_cause=" + byCause;
        }

        @Override
        public String text() {
            return logLine();
        }
    }

    /**
     * The progress of binds and removals, logged while some proxy is unbound or some removal is not
     * ordered.
     *
     * @param joined number of joined proxies
     * @param unbound number of joined proxies that may still hold tables not written by this
     *     governor
     * @param notOrdered number of required removals for which no order has been sent
     * @param overdue number of removals so far that were not acknowledged in time
     * @param queuedEntries entries that may be queued in the channel
     * @param entriesPerSecond measured rate at which the channel drains
     * @param starterUsers number of proxies on starter tables
     * @param starterTableSize entries of a starter table
     * @param booked entries booked since the previous periodic update, by purpose
     * @param binds number of binds since the previous periodic update
     */
    record DrainStatus(
            int joined,
            int unbound,
            int notOrdered,
            long overdue,
            long queuedEntries,
            long entriesPerSecond,
            int starterUsers,
            int starterTableSize,
            String booked,
            int binds)
            implements DecisionEvent {
        @Override
        public String logLine() {
            return "event=drain_status"
                    + (" joined=" + joined)
                    + (" unbound=" + unbound)
                    + (" not_ordered=" + notOrdered)
                    + (" overdue=" + overdue)
                    + (" waiting_lines=" + queuedEntries)
                    + (" lines_per_s=" + entriesPerSecond)
                    + (" starters=" + starterUsers)
                    + (" starter_lines=" + starterTableSize)
                    + (" booked=" + booked)
                    + (" binds=" + binds);
        }

        @Override
        public String text() {
            return logLine();
        }
    }

    private static String percent(double share) {
        return Math.round(share * 100) + "%";
    }
}
