package sprucelanding.simulation.loopback;

/**
 * A proxy's channel to a governor: one xDS stream or NETCONF session, which changes the proxy's
 * tables. All calls on the proxy's loop.
 */
interface ControlChannel {
    /** The ms between keepalives. */
    double KEEPALIVE_MILLIS = 1000;

    /** The ms without an answer after which the governor counts as silent. */
    double KEEPALIVE_TIMEOUT_MILLIS = 1500;

    /** Notified of what happens on a channel. */
    interface ControlChannelListener {
        /**
         * A message was applied to the tables.
         *
         * @param kind the type of its resources
         * @param controlPlaneId the governor that wrote it, by its own name and epoch
         */
        void onApplied(String kind, long nonce, int entries, String controlPlaneId);

        /** A message was rejected. */
        void onRejected(String kind, long nonce, String controlPlaneId);

        /** The channel is lost. */
        void onBroken(String reason);

        /** The acknowledgement or rejection of a message was sent. */
        void onAcknowledged(long nonce, boolean rejected);
    }

    /** Connects to the governor. */
    void open();

    /** Closes the channel without a callback. */
    void close();

    /** Acknowledgements are sent so many ms late. */
    void setResponseDelay(double millis);

    /** Rejects the next messages. */
    void rejectNext(int messages);

    /** While reads are paused, nothing is read from the governor. */
    void setReadsPaused(boolean enabled);
}
