package sprucelanding.delivery;

/** What the host of a delivery can be told to do. */
public interface Acts {
    void send(Message message);

    /** Ends the proxy's stream: it dials again, and is laid from what it then says it holds. */
    void cut(Holder holder, String why);

    /** All that was ordered up to this receipt is in force at the proxy, or refused by it. */
    void inForce(Holder holder, int serial);

    /** One line for the log, with its figures as key and value in turn. */
    void note(String text, Object... figures);
}
