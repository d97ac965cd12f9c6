package sprucelanding.control.decision;

import java.util.stream.IntStream;
import sprucelanding.control.decision.ChannelBudget.Purpose;

/**
 * Sends admission levels and retry policies to the tables. {@link AdmissionController} decides the
 * admission levels.
 */
final class AdmissionScheduler {
    /** Smallest change of an admission level that is sent, as a share of the larger level. */
    private static final double MIN_RELATIVE_CHANGE = 0.05;

    /**
     * Share of the channel that admission levels may use. Each admission level costs a message to
     * every proxy.
     */
    private static final double CHANNEL_SHARE = 0.5;

    private final EventTime time;
    private final AdmissionMode mode;
    private final RequestClass[] requestClasses;
    private final RoutingTables tables;
    private final ProxyRegistry proxies;
    private final ChannelBudget channel;
    private final AdmissionController admission;
    private final LoadEstimator loads;
    private final BindScheduler binds;
    private final WarmUpLimiter warmUpLimiter;

    AdmissionScheduler(ControllerState state, AdmissionMode mode, BindScheduler binds) {
        this.mode = mode;
        this.binds = binds;
        time = state.time();
        requestClasses = state.requestClasses();
        tables = state.tables();
        proxies = state.proxies();
        channel = state.channel();
        admission = state.admission();
        loads = state.loads();
        warmUpLimiter = state.warmUpLimiter();
    }

    /**
     * Orders the next admission level of a table that would overload an endpoint which is warming
     * up. The order belongs to the same message as the change of the table that makes it necessary.
     *
     * @return whether an order was given; false if none is needed or it does not fit the channel
     */
    boolean sendNextReduction(ControllerOutput output) {
        if (!warmUpLimiter.isLimiting()) {
            return false;
        }
        for (RoutingTable table : tables.all()) {
            for (int index : classesOf(table)) {
                if (exceedsLimit(table, index)
                        && channel.book(
                                table.users(), 1, ChannelPriority.MANDATORY, Purpose.ADMISSION)) {
                    send(table, index, retryPolicy(), output);
                    return true;
                }
            }
        }
        return false;
    }

    /** Returns whether the table admits more than the endpoints that are warming up can serve. */
    private boolean exceedsLimit(RoutingTable table, int index) {
        if (table.users().isEmpty() || warmUpLimiter.limit(table) >= 1) {
            return false;
        }
        double admitted = admitted(table, requestClasses[index]);
        return !table.hasSentAdmission(index)
                || admitted < (1 - MIN_RELATIVE_CHANGE) * table.sentAdmission(index);
    }

    /**
     * Orders the next admission level that has changed.
     *
     * @param isOrdinaryAllowed whether ordinary changes may start new messages now
     * @return whether an order was given; false if no admission level fits the channel
     */
    boolean sendNext(ControllerOutput output, boolean isOrdinaryAllowed) {
        int retryPolicy = retryPolicy();
        double minPause =
                proxies.size()
                        * channel.totalMessageOverhead()
                        / (CHANNEL_SHARE * channel.measuredRate());
        for (RoutingTable table : tables.all()) {
            boolean isWaiting =
                    !table.users().isEmpty()
                            && (binds.hasDeadline()
                                    || isWithin(minPause, table.lastAdmissionTime()));
            if (!isWaiting && sendNext(table, retryPolicy, isOrdinaryAllowed, output)) {
                return true;
            }
        }
        return false;
    }

    private boolean isWithin(double pause, double lastTime) {
        return time.now() - lastTime < pause && time.now() > lastTime;
    }

    private boolean sendNext(
            RoutingTable table,
            int retryPolicy,
            boolean isOrdinaryAllowed,
            ControllerOutput output) {
        boolean overloaded = admission.isOverloaded();
        ChannelPriority priority = overloaded ? ChannelPriority.CRITICAL : ChannelPriority.ORDINARY;
        for (int index : classesOf(table)) {
            boolean isFirst = !table.hasSentAdmission(index);
            boolean canUpdate = isOrdinaryAllowed || overloaded;
            if ((isFirst || canUpdate && hasChanged(table, index, retryPolicy))
                    && channel.book(table.users(), 1, priority, Purpose.ADMISSION)) {
                send(table, index, retryPolicy, output);
                return true;
            }
        }
        return false;
    }

    private boolean hasChanged(RoutingTable table, int index, int retryPolicy) {
        double admitted = admitted(table, requestClasses[index]);
        double sent = table.sentAdmission(index);
        return retryPolicy != table.sentRetryPolicy(index)
                || Math.abs(admitted - sent) >= MIN_RELATIVE_CHANGE * Math.max(admitted, sent);
    }

    /**
     * Orders the next admission level of a table without users that has not been sent yet.
     *
     * @return whether an order was given
     */
    boolean sendFirst(RoutingTable table, ControllerOutput output) {
        for (int index : classesOf(table)) {
            if (table.users().isEmpty() && !table.hasSentAdmission(index)) {
                send(table, index, retryPolicy(), output);
                return true;
            }
        }
        return false;
    }

    private static int[] classesOf(RoutingTable table) {
        return table.isCleared()
                ? IntStream.empty().toArray()
                : table.requestClasses().stream().toArray();
    }

    private void send(RoutingTable table, int index, int retryPolicy, ControllerOutput output) {
        double admitted = admitted(table, requestClasses[index]);
        table.admissionSent(index, admitted, retryPolicy, time.now());
        output.setAdmission(table.number(), requestClasses[index], admitted, retryPolicy);
    }

    /**
     * Returns the retry policy of all tables. Proxies retry only with proof that the request was
     * not executed. Proxies do not retry at all where the queues of the endpoints may be full,
     * because retries would fill the queues further.
     */
    private int retryPolicy() {
        boolean hasPossiblyFullQueues =
                admission.isOverloaded()
                        || !loads.hasReports()
                        || loads.meanLoad() > AdmissionController.BUSY_LOAD;
        return hasPossiblyFullQueues
                ? ControllerOutput.RETRY_NEVER
                : ControllerOutput.RETRY_IF_NOT_EXECUTED;
    }

    /** Returns the admission level that the host is sent: a share or a rate. */
    private double admitted(RoutingTable table, RequestClass requestClass) {
        double limit = warmUpLimiter.limit(table);
        double share = limit * requestClass.admittedShare();
        if (mode != AdmissionMode.RATE) {
            return share;
        }
        if (limit < 1) {
            return AdmissionController.ratePerProxy(requestClass, share, table.users());
        }
        return requestClass.admittedShare() < 1
                ? requestClass.admittedRate()
                : AdmissionController.UNLIMITED_REQUESTS_PER_S;
    }
}
