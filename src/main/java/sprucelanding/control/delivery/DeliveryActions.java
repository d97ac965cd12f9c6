package sprucelanding.control.delivery;

/** What the host of a delivery can be told to do. */
public interface DeliveryActions {
    void send(ResourceUpdate update);

    /** Ends the proxy's stream: it dials again, and is laid from what it then says it holds. */
    void closeStream(ProxyStream stream, String reason);

    /** All that was ordered up to this receipt is in force at the proxy, or refused by it. */
    void acknowledged(ProxyStream stream, int serial);

    /** One line for the log, with its figures as key and value in turn. */
    void log(String event, Object... fields);
}
