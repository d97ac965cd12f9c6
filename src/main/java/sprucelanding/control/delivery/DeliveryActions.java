package sprucelanding.control.delivery;

/** What a {@link Delivery} decides; its host carries it out, on the calling thread. */
public interface DeliveryActions {
    /** Sends a response to its proxy. */
    void send(ResourceUpdate update);

    /**
     * Closes a stream: the proxy connects again and is sent what differs from what it then holds.
     */
    void closeStream(ProxyStream stream, String reason);

    /** All orders that an acknowledgement was requested for are in force, or were rejected. */
    void acknowledged(ProxyStream stream, int serial);

    /** Writes one line to the log; fields are keys and values in turn. */
    void log(String event, Object... fields);
}
