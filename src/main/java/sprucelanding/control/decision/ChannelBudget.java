package sprucelanding.control.decision;

import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Models the governor's channel to its proxies: how many lines wait in it, how fast it drains, and
 * how many messages each proxy was sent. Every order asks here first whether it fits, and is booked
 * with that.
 *
 * <p>All orders of one moment form one message for each proxy concerned. A message costs its head,
 * its lines, and a line for the receipt that it asks for. Messages leave in order, so a receipt
 * shows that all booked before its message has left.
 */
final class ChannelBudget {
    /** What an order is for, for the log. */
    enum Purpose {
        WITHDRAWAL,
        REMOVAL,
        LINE,
        BIND,
        LEVEL,
        CLEAR
    }

    /** Part of the queue and of the messages to a proxy that ordinary orders may use. */
    static final double ORDINARY_SHARE = 0.6;

    /** The same for what health and binds ask for. */
    static final double URGENT_SHARE = 0.75;

    /** The same for levels under overload, and for tables that have lost most of their weight. */
    static final double CRITICAL_SHARE = 0.9;

    /** The same for what the rules ask for. */
    static final double FULL_SHARE = 1;

    /** Part of the stated pace that is trusted where no receipt comes. */
    static final double TRUSTED_RATE_SHARE = 0.5;

    /** Receipts are numbered modulo that. */
    static final int ACKNOWLEDGEMENT_NUMBERS = 60_000;

    /** Part of the stated limit that all orders but those of the rules may use. */
    private static final double DISCRETIONARY_QUEUE_SHARE = 0.85;

    /** Time, ms, in which what waits has to leave at the pace seen, but for orders of the rules. */
    private static final double MAX_QUEUE_TIME = 3000;

    /** The least pace that is believed, of the stated one. */
    private static final double MIN_RATE_SHARE = 0.05;

    /** How fast the pace is trusted again while little waits, a turn. */
    private static final double RATE_RECOVERY_FACTOR = 1.6;

    private static final double NEVER = Double.NEGATIVE_INFINITY;

    private final double updateInterval;
    private final EnumMap<Purpose, Double> bookedByPurpose = new EnumMap<>(Purpose.class);
    private final Map<Integer, SentBatch> unacknowledgedBatches =
            new LinkedHashMap<>(); // until later ones come
    private double configuredRate;
    private double messageOverhead;
    private double queueLimit;
    private int messageLimit;
    private double messageSpan;
    private double maxTransitTime;
    private double now;
    private long lastMessage;
    private double bookedLines;
    private double bookedBeforeBatch;
    private double lastBatchTime = NEVER;

    /** Lines of this moment's message to each proxy, by its number. */
    private Map<Integer, Double> batchLinesByProxy = new HashMap<>();

    private double deliveredLines;
    private double lastAcknowledgementTime = NEVER;
    private double measuredRate;
    private double queuedAtUpdate;
    private double bookedAtUpdate;

    /** Creates a budget whose pace is measured once in a turn, ms. */
    ChannelBudget(double turn) {
        this.updateInterval = turn;
        maxTransitTime = turn;
    }

    /**
     * Sets the limits that the site states.
     *
     * @param pace lines a ms that the channel drains under normal conditions
     * @param head lines that a message costs beyond its own
     * @param queueLimit lines that may wait
     * @param messageLimit messages to one proxy within the span; 0: no limit
     * @param messageSpan ms
     */
    void configure(
            double pace, double head, double queueLimit, int messageLimit, double messageSpan) {
        configuredRate = pace;
        this.measuredRate = pace;
        this.messageOverhead = head;
        this.queueLimit = queueLimit;
        this.messageLimit = messageLimit;
        this.messageSpan = messageSpan;
    }

    /** Sets the time that a message takes at most on its way, ms. */
    void maxTransitTime(double transit) {
        this.maxTransitTime = transit;
    }

    void setTime(double now) {
        this.now = now;
    }

    double configuredRate() {
        return configuredRate;
    }

    /** Lines a ms at which the channel is seen to drain. */
    double measuredRate() {
        return measuredRate;
    }

    /** Lines that a message costs beyond the lines of its orders: its head, and its receipt. */
    double totalMessageOverhead() {
        return messageOverhead + 1;
    }

    double messageOverhead() {
        return messageOverhead;
    }

    double queueLimit() {
        return queueLimit;
    }

    /** ms that a message takes at most on its way. */
    double maxTransitTime() {
        return maxTransitTime;
    }

    boolean hasMessageLimit() {
        return messageLimit > 0;
    }

    /**
     * ms between two messages to a proxy if ordinary ones are spread evenly over the span; 0 where
     * there is no limit.
     */
    double messageInterval() {
        return messageLimit == 0 ? 0 : messageSpan / (ORDINARY_SHARE * messageLimit);
    }

    /**
     * Whether the messages that a proxy may be sent are used up past the part of the ordinary ones.
     */
    boolean isMessageLimitNear(Proxy proxy) {
        return proxy.messageTimes.size() > ORDINARY_SHARE * messageLimit;
    }

    /** The number that the message of this moment will have. */
    long nextMessage() {
        return lastMessage + 1;
    }

    /** The newest message whose receipt has that number. */
    long messageAcknowledgedBy(int receipt) {
        return lastMessage - Math.floorMod(lastMessage - receipt, ACKNOWLEDGEMENT_NUMBERS);
    }

    /**
     * Some proxy has applied the message with that receipt, and with it all that was booked before.
     * Of the moment itself the share of its messages that are confirmed counts as having left.
     */
    void acknowledged(int receipt) {
        applyAcknowledgement(unacknowledgedBatches.get(receipt), SentBatch::confirmShare);
    }

    /** The same where the proxy is known: of the moment itself, its own message has left. */
    void acknowledged(int proxy, int receipt) {
        applyAcknowledgement(unacknowledgedBatches.get(receipt), sent -> sent.confirm(proxy));
    }

    private void applyAcknowledgement(SentBatch sent, Consumer<SentBatch> confirm) {
        lastAcknowledgementTime = now;
        if (sent != null) {
            confirm.accept(sent);
            deliveredLines = Math.max(deliveredLines, sent.delivered());
            unacknowledgedBatches.values().removeIf(s -> s.bookedBefore < sent.bookedBefore);
        }
    }

    /**
     * Lines that may wait: all that no receipt confirms, for a channel may run far slower than
     * stated. Where none has come for as long as one may take and a turn, part of the stated pace
     * is trusted from then on.
     */
    double queuedLines() {
        double silent =
                Math.max(0, now - lastAcknowledgementTime - maxTransitTime - updateInterval);
        return Math.max(
                0, bookedLines - deliveredLines - silent * configuredRate * TRUSTED_RATE_SHARE);
    }

    /** Lines that may wait of all but what the rules ask for. */
    double ordinaryQueueLimit() {
        return Math.min(DISCRETIONARY_QUEUE_SHARE * queueLimit, MAX_QUEUE_TIME * measuredRate);
    }

    /** Measures the pace; to be called once a turn. */
    void measureRate() {
        double drained =
                (queuedAtUpdate + bookedLines - bookedAtUpdate - queuedLines())
                        / updateInterval; // its pace, if never empty since
        if (queuedAtUpdate < updateInterval * measuredRate) {
            measuredRate = Math.min(configuredRate, RATE_RECOVERY_FACTOR * measuredRate);
        } else {
            measuredRate =
                    Math.max(
                            MIN_RATE_SHARE * configuredRate,
                            (measuredRate + Math.min(configuredRate, drained)) / 2);
        }
        queuedAtUpdate = queuedLines();
        bookedAtUpdate = bookedLines;
    }

    /**
     * Whether orders of so many lines to each of these proxies fit into that part of the limits.
     */
    boolean hasRoom(Collection<Proxy> to, int lines, double part) {
        if (queuedLines() == 0) { // as long as nothing waits, no receipt is missing
            deliveredLines = bookedLines;
            lastAcknowledgementTime = now;
        }
        double most = part < FULL_SHARE ? part * ordinaryQueueLimit() : queueLimit;
        boolean room = queuedLines() + cost(to, lines) <= most;
        for (Proxy proxy : to) {
            proxy.messageTimes.removeIf(at -> at < now - messageSpan - updateInterval / 4);
            room &=
                    messageLimit == 0
                            || proxy.hasMessageAt(now)
                            || proxy.messageTimes.size() + 1 <= part * messageLimit;
        }
        return room;
    }

    /** Books such orders if they fit; an order to nobody costs nothing. */
    boolean book(Collection<Proxy> to, int lines, double part, Purpose purpose) {
        if (to.isEmpty()) {
            return true;
        }
        if (!hasRoom(to, lines, part)) {
            return false;
        }
        if (lastBatchTime != now) {
            bookedBeforeBatch = bookedLines;
            batchLinesByProxy.clear();
        }
        lastBatchTime = now;
        double cost = cost(to, lines);
        to.forEach(proxy -> batchLinesByProxy.merge(proxy.id, cost(proxy, lines), Double::sum));
        bookedLines += cost;
        bookedByPurpose.merge(purpose, cost, Double::sum);
        to.stream()
                .filter(proxy -> !proxy.hasMessageAt(now))
                .forEach(proxy -> proxy.messageTimes.addLast(now));
        return true;
    }

    private double cost(Collection<Proxy> to, int lines) {
        double cost = 0;
        for (Proxy proxy : to) {
            cost += cost(proxy, lines);
        }
        return cost;
    }

    private double cost(Proxy proxy, int lines) {
        return lines + (proxy.hasMessageAt(now) ? 0 : totalMessageOverhead());
    }

    /** Whether something was ordered at this moment whose receipt is not asked for yet. */
    boolean hasOpenBatch() {
        return lastBatchTime == now;
    }

    /**
     * Ends the moment; messages went to so many proxies. The number of the receipt that they are to
     * be asked for.
     */
    int closeBatch(double messages) {
        lastBatchTime = NEVER;
        lastMessage++;
        int receipt = (int) (lastMessage % ACKNOWLEDGEMENT_NUMBERS);
        unacknowledgedBatches.put(
                receipt, new SentBatch(bookedBeforeBatch, batchLinesByProxy, messages));
        batchLinesByProxy = new HashMap<>();
        return receipt;
    }

    /** What was booked since this was last asked, by purpose, for the log. */
    String bookedLinesByPurpose() {
        String text =
                bookedByPurpose.entrySet().stream()
                        .map(e -> e.getKey() + ":" + Math.round(e.getValue()))
                        .collect(Collectors.joining(","));
        bookedByPurpose.clear();
        return text;
    }
}
