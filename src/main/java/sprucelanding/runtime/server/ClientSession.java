package sprucelanding.runtime.server;

/**
 * What a connection is at present: each of the roles takes other messages. {@link
 * ConnectionRegistry} has the table of states, owners, deadlines and ends.
 */
sealed interface ClientSession permits HandshakeSession, ProxySession, CollectorSession {
    /**
     * Takes a message other than a ping.
     *
     * @throws sprucelanding.control.settings.MalformedInputException if the role does not take it
     *     or a field cannot be used: nothing of the message counts then
     */
    void handle(ClientMessageType type, MessageFields fields);

    /** Bytes that a line may have. */
    int maxLineBytes();

    /** A message cannot be used, though it is a JSON object. */
    void onMalformed(String reason);

    /** The bytes that come cannot be read as messages. */
    void onUnreadable(String reason);

    /** Whether what is owed is still sent once the peer has ended its side. */
    boolean drainsAfterPeerClose();

    /**
     * Since when the peer has owed an acknowledgement and sent nothing, loop's ms; infinite if it
     * owes none.
     *
     * @param lastReceivedMillis when something last came from it
     */
    double unresponsiveSinceMillis(double lastReceivedMillis);

    /** The connection has ended: settles what depended on it. */
    void onClosed();
}
