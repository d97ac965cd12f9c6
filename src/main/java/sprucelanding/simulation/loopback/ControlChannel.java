package sprucelanding.simulation.loopback;

/**
 * A proxy's channel to a governor: one xDS stream or one NETCONF session. The channel applies the
 * governor's messages to the proxy's tables. All calls must be made on the proxy's event loop.
 */
interface ControlChannel {
    /** The pause before each keepalive. */
    double KEEPALIVE_INTERVAL_MILLIS = 1000;

    /** The time without an answer after which the governor is considered unresponsive. */
    double KEEPALIVE_TIMEOUT_MILLIS = 1500;

    /** A listener that is notified of the events of a channel. */
    interface ControlChannelListener {
        /**
         * Called when a message was applied to the tables.
         *
         * @param kind the type of the message's resources
         * @param entries the number of resources or table entries in the message
         * @param controlPlaneId the name and epoch of the governor that wrote the message
         */
        void onApplied(String kind, long nonce, int entries, String controlPlaneId);

        /** Called when a message was rejected. */
        void onRejected(String kind, long nonce, String controlPlaneId);

        /** Called when the channel was lost. */
        void onBroken(String reason);

        /** Called when the acknowledgement or rejection of a message was sent. */
        void onAcknowledged(long nonce, boolean rejected);
    }

    /** Connects to the governor. */
    void open();

    /** Closes the channel without notifying the listener. */
    void close();

    /** Delays acknowledgements and rejections by this time in ms. */
    void setResponseDelay(double millis);

    /** Rejects this many of the next messages. */
    void rejectNext(int messages);

    /** Pauses or resumes reading. Nothing is read from the governor while reads are paused. */
    void setReadsPaused(boolean enabled);
}
