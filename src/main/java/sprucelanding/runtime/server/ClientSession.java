package sprucelanding.runtime.server;

/**
 * The role of a client's connection. It determines which messages the connection accepts. {@link
 * ConnectionRegistry} has the table of states, owners, deadlines and transitions.
 */
sealed interface ClientSession permits HandshakeSession, ProxySession, CollectorSession {
    /**
     * Handles a message other than a ping.
     *
     * @throws sprucelanding.control.settings.MalformedInputException if the role does not accept
     *     the message or a field is invalid; the message has no effect then
     */
    void handle(ClientMessageType type, MessageFields fields);

    /** Returns the maximum length of a line in bytes. */
    int maxLineBytes();

    /** Handles a line that is a JSON object but not a valid message. */
    void onMalformed(String reason);

    /** Handles input that cannot be parsed as messages. */
    void onUnreadable(String reason);

    /** Returns whether unsent bytes are still sent after the peer has closed its side. */
    boolean sendsQueuedBytesAfterPeerClose();

    /**
     * Returns the time since which an acknowledgement is pending and the peer has sent nothing, in
     * ms of the event loop's clock; infinite if no acknowledgement is pending.
     *
     * @param lastReceivedMillis when bytes were last received from the peer
     */
    double unresponsiveSinceMillis(double lastReceivedMillis);

    /** Releases what depends on the connection, which has been closed. */
    void onClosed();
}
