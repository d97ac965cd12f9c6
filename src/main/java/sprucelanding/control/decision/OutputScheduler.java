package sprucelanding.control.decision;

import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Decides which order is given next: first the orders with a deadline, then the orders that move
 * traffic. Each type of order has its own scheduler. This class defines the precedence of the
 * schedulers.
 */
final class OutputScheduler {
    private final StarterTables starterTables;
    private final AdmissionController admission;
    private final HealthCheckScheduler healthChecks;
    private final ChannelBudget channel;
    private final EjectionQueue ejections;
    private final BindScheduler binds;
    private final RestorationScheduler restorations;
    private final EndpointRegistry endpoints;
    private final WeightUpdateScheduler weightUpdates;
    private final AdmissionScheduler admissions;
    private final StarterTableScheduler starterTableUpdates;
    private final UnusedTableCleaner unusedTables;
    private final OrderLimit orderLimit;
    private final WarmUpLimiter warmUpLimiter;

    OutputScheduler(ControllerState state, SplittableRandom random, AdmissionMode admissionMode) {
        admission = state.admission();
        healthChecks = state.healthChecks();
        channel = state.channel();
        warmUpLimiter = state.warmUpLimiter();
        endpoints = state.endpoints();
        RoutingTables tables = state.tables();
        orderLimit =
                new OrderLimit(
                        state.log(),
                        endpoints,
                        state.proxies(),
                        tables,
                        state.requestClasses().length);
        restorations = new RestorationScheduler(state.time(), tables, channel);
        starterTables = new StarterTables(tables, random);
        binds = new BindScheduler(state, starterTables, restorations);
        ejections = new EjectionQueue(state, binds, restorations);
        weightUpdates = new WeightUpdateScheduler(state, binds);
        admissions = new AdmissionScheduler(state, admissionMode, binds);
        starterTableUpdates =
                new StarterTableScheduler(
                        random, tables, starterTables, state.weights(), admissions);
        unusedTables =
                new UnusedTableCleaner(tables, starterTables, channel, weightUpdates::invalidate);
    }

    /** Sets the time within which proxies must stop sending to a removed endpoint, ms. */
    void configure(double drainGrace) {
        binds.configure(drainGrace);
        weightUpdates.configure(drainGrace);
    }

    /** Begins the orders for the next event. */
    void eventStarted() {
        orderLimit.eventStarted();
        warmUpLimiter.invalidate();
    }

    /** Discards the ranking of the entries because weights have changed. */
    void weightsChanged() {
        weightUpdates.invalidate();
    }

    /** Discards the plan of the binds because tables or assignments have changed. */
    void tablesChanged() {
        binds.invalidatePlan();
    }

    /** Notes that the list contained the endpoint, or that a complete list omitted the endpoint. */
    void endpointUpdated(Endpoint endpoint) {
        ejections.add(endpoint);
    }

    void endpointsForgotten(Collection<Endpoint> endpoints) {
        ejections.forget(endpoints);
        restorations.endpointsForgotten(endpoints);
        weightUpdates.invalidate();
    }

    /** Configures that the host's proxies keep ejections when their stream ends. */
    void configureKeptEjections() {
        restorations.enable();
    }

    /** Notes that an endpoint has entered service after the first list. */
    void endpointReturned(Endpoint endpoint) {
        restorations.endpointReturned(endpoint);
    }

    void proxyJoined(Proxy proxy) {
        binds.proxyJoined();
        ejections.proxyJoined();
        restorations.proxyJoined(proxy);
    }

    void proxyLeft(Proxy proxy) {
        restorations.proxyLeft(proxy);
        starterTables.release(proxy);
    }

    /** Replaces removed endpoints in starter tables after an update of the endpoint list. */
    void endpointListUpdated(List<Endpoint> available) {
        starterTableUpdates.refill(available);
    }

    /** Releases the proxies of starter tables in which no endpoint gets traffic any more. */
    void releaseEmptiedStarterTables(WeightPolicy weights) {
        starterTables.releaseUsersOf(table -> weights.activeEntryCount(table) == 0);
    }

    /** Releases proxies from starter tables as the channel allows, once in each periodic update. */
    void releaseStarterTables() {
        binds.releaseStarterTables();
    }

    /** Returns the number of proxies on starter tables, for the log. */
    int starterTableUsers() {
        return starterTables.users().size();
    }

    /** Returns the size of a starter table in entries, for the log. */
    int starterTableSize() {
        return starterTables.tableSize();
    }

    /** Returns the number of binds since the last call, for the log. */
    int takeBindsSent() {
        return binds.takeBindsSent();
    }

    /**
     * Gives the next order.
     *
     * @param known all endpoints
     * @param isOrdinaryAllowed whether ordinary changes may start new messages now
     * @return whether an order was given; false if no order fits the channel now
     */
    boolean sendNext(
            ControllerOutput output, Collection<Endpoint> known, boolean isOrdinaryAllowed) {
        boolean isGiven =
                orderLimit.allowsOrder() && sendMostUrgent(output, known, isOrdinaryAllowed);
        if (isGiven) {
            orderLimit.orderGiven();
            warmUpLimiter.invalidate();
        }
        return isGiven;
    }

    private boolean sendMostUrgent(
            ControllerOutput output, Collection<Endpoint> known, boolean isOrdinaryAllowed) {
        channel.bookHeldUpdates();
        if (healthChecks.sendDueCheck(output) || ejections.sendNext(output, known)) {
            return true;
        }
        if (ejections.isWaitingForRoom()) {
            return false;
        }
        return unusedTables.sendNext(output)
                || starterTableUpdates.sendNext(output)
                || binds.hasDeadline() && binds.sendNext(output)
                || admission.isOverloaded() && admissions.sendNext(output, isOrdinaryAllowed)
                || weightUpdates.sendNext(output, isOrdinaryAllowed)
                || restorations.sendUrgent(output)
                || binds.sendNext(output)
                || admissions.sendNextReduction(output)
                || admissions.sendNext(output, isOrdinaryAllowed)
                || restorations.sendNext(output, endpoints.available());
    }
}
