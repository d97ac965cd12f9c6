package sprucelanding.runtime.server;

/** A joined proxy's stream, as the host of the controller sees it. */
interface UpdateStream {
    /**
     * Sends an update.
     *
     * @param acknowledgementId what it asks to be acknowledged by, or {@link
     *     sprucelanding.control.distribution.ProxyUpdate#NO_ACKNOWLEDGEMENT}
     */
    void write(byte[] update, int acknowledgementId);

    /** The proxy has begun a newer stream; this one ends. */
    void superseded();

    /** The proxy cannot be kept in step; the stream ends for that reason. */
    void fail(String reason);
}
