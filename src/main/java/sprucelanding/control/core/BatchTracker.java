package sprucelanding.control.core;

/**
 * Tracker of the current batch and of the times at which earlier batches started.
 *
 * <p>It records whether the current batch has orders, and whether the controller has received new
 * input. Called from the core's thread; times are ms on the host's clock.
 */
final class BatchTracker {
    /**
     * Number of acknowledgements that may be pending at the same time. Serial numbers are mapped to
     * slots modulo this number, so a slot is reused after that.
     */
    private static final int MAX_PENDING_ACKNOWLEDGEMENTS = 65_536;

    private final double[] startTimeBySerial = new double[MAX_PENDING_ACKNOWLEDGEMENTS];
    private double startedAt;
    private boolean hasOrders;
    private boolean hasNewInput;
    private long orderCount;

    /** Begins a batch at the given time. */
    void begin(double now) {
        startedAt = now;
        hasOrders = false;
    }

    /** Returns the time at which the current batch started. */
    double startedAt() {
        return startedAt;
    }

    /** Records an order of the current batch. */
    void orderReceived() {
        hasOrders = true;
        orderCount++;
    }

    /** Returns whether the current batch has orders. */
    boolean hasOrders() {
        return hasOrders;
    }

    /** Returns the number of orders of all batches. */
    long orderCount() {
        return orderCount;
    }

    /** Records that an acknowledgement was requested for the orders of the current batch. */
    void acknowledgementRequested(int serial) {
        startTimeBySerial[serial % MAX_PENDING_ACKNOWLEDGEMENTS] = startedAt;
    }

    /** Returns the time at which the batch with this acknowledgement serial started. */
    double decidedAt(int serial) {
        return startTimeBySerial[serial % MAX_PENDING_ACKNOWLEDGEMENTS];
    }

    /** Records that the controller received input after which it may have new decisions. */
    void inputReceived() {
        hasNewInput = true;
    }

    /**
     * Returns whether the controller has received input since the last call, and clears the flag.
     */
    boolean takeInputReceived() {
        boolean received = hasNewInput;
        hasNewInput = false;
        return received;
    }
}
