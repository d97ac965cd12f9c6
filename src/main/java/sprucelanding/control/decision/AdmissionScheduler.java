package sprucelanding.control.decision;

import java.util.stream.IntStream;
import sprucelanding.control.decision.ChannelBudget.Purpose;

/** Sends what {@link AdmissionController} decides, and when proxies may retry, to the tables. */
final class AdmissionScheduler {
    /** The least change of an admission that is sent, of the larger one. */
    private static final double MIN_CHANGE = 0.05;

    /** Part of the channel that admissions may take: each one costs a message to every proxy. */
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

    AdmissionScheduler(
            EventTime time,
            AdmissionMode mode,
            RequestClass[] requestClasses,
            RoutingTables tables,
            ProxyRegistry proxies,
            ChannelBudget channel,
            AdmissionController admission,
            LoadEstimator loads,
            BindScheduler binds) {
        this.time = time;
        this.mode = mode;
        this.requestClasses = requestClasses;
        this.tables = tables;
        this.proxies = proxies;
        this.channel = channel;
        this.admission = admission;
        this.loads = loads;
        this.binds = binds;
    }

    /**
     * Orders the next admission that has changed; false if there is none that fits the channel.
     *
     * @param mayBeOrdinary whether ordinary changes may begin new messages now
     */
    boolean sendNext(ControllerOutput output, boolean mayBeOrdinary) {
        int retryPolicy = retryPolicy();
        double pause =
                proxies.size()
                        * channel.totalMessageOverhead()
                        / (CHANNEL_SHARE * channel.measuredRate());
        for (RoutingTable table : tables.all()) {
            boolean waits =
                    !table.users().isEmpty()
                            && (binds.hasDeadline() || isWithin(pause, table.lastAdmissionTime()));
            if (!waits && sendNext(table, retryPolicy, mayBeOrdinary, output)) {
                return true;
            }
        }
        return false;
    }

    private boolean isWithin(double pause, double lastTime) {
        return time.now() - lastTime < pause && time.now() > lastTime;
    }

    private boolean sendNext(
            RoutingTable table, int retryPolicy, boolean mayBeOrdinary, ControllerOutput output) {
        boolean overloaded = admission.isOverloaded();
        ChannelPriority priority = overloaded ? ChannelPriority.CRITICAL : ChannelPriority.ORDINARY;
        for (int index : classesOf(table)) {
            boolean isFirst = !table.hasSentAdmission(index);
            boolean mayUpdate = mayBeOrdinary || overloaded;
            if ((isFirst || mayUpdate && differs(table, index, retryPolicy))
                    && channel.book(table.users(), 1, priority, Purpose.ADMISSION)) {
                send(table, index, retryPolicy, output);
                return true;
            }
        }
        return false;
    }

    private boolean differs(RoutingTable table, int index, int retryPolicy) {
        double admitted = admitted(requestClasses[index]);
        double sent = table.sentAdmission(index);
        return retryPolicy != table.sentRetryPolicy(index)
                || Math.abs(admitted - sent) >= MIN_CHANGE * Math.max(admitted, sent);
    }

    /** Orders the first admission that has not been sent yet to a table that has no users. */
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
        double admitted = admitted(requestClasses[index]);
        table.admissionSent(index, admitted, retryPolicy, time.now());
        output.setAdmission(table.number(), requestClasses[index], admitted, retryPolicy);
    }

    /** Retries only after proof that nothing was executed, and none that would feed full queues. */
    private int retryPolicy() {
        boolean mayBeFull =
                admission.isOverloaded()
                        || !loads.hasReports()
                        || loads.meanLoad() > AdmissionController.BUSY_LOAD;
        return mayBeFull ? ControllerOutput.RETRY_NEVER : ControllerOutput.RETRY_IF_NOT_EXECUTED;
    }

    /** What is admitted of a class as the host is told it: a share, or a rate. */
    private double admitted(RequestClass requestClass) {
        if (mode != AdmissionMode.RATE) {
            return requestClass.admittedShare();
        }
        return requestClass.admittedShare() < 1
                ? requestClass.admittedRate()
                : AdmissionController.UNLIMITED_RATE;
    }
}
