package sprucelanding.control.delivery;

/** Actions that a {@link Delivery} decides on. The host executes them on the calling thread. */
public interface DeliveryActions {
    /** Sends an update to its proxy. */
    void send(ResourceUpdate update);

    /**
     * Closes a stream. The proxy then connects again and is sent the differences from the resources
     * that it holds at that time.
     */
    void closeStream(ProxyStream stream, String reason);

    /**
     * Reports that all orders that an acknowledgement request covers are in force or were rejected.
     */
    void acknowledged(ProxyStream stream, int serial);

    /** Writes one line to the log; the fields are alternating keys and values. */
    void log(String event, Object... fields);
}
