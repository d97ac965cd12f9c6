package sprucelanding.runtime.server;

/** The stream of a joined proxy, as used by the controller's host. */
interface UpdateStream {
    /**
     * Sends an update.
     *
     * @param acknowledgementId the number that the acknowledgement has to carry, or {@link
     *     sprucelanding.control.distribution.ProxyUpdate#NO_ACKNOWLEDGEMENT}
     */
    void write(byte[] update, int acknowledgementId);

    /** Ends the stream because the proxy has begun a newer one. */
    void superseded();

    /** Ends the stream because an update could not be sent. */
    void fail(String reason);
}
