package sprucelanding.simulation.loopback;

/**
 * A proxy's side towards governors: one stream or session, by which it is told its tables. All
 * calls on its loop.
 */
interface ControlChannel {
    /**
     * ms between looks whether the governor answers at all, and ms without an answer until it
     * counts as silent.
     */
    double KEEPALIVE_MILLIS = 1000;

    double KEEPALIVE_TIMEOUT_MILLIS = 1500;

    /** What the proxy hears of it. */
    interface ControlChannelListener {
        /** A message was put into force; voice is who wrote it, by its own word. */
        void onApplied(String kind, long nonce, int entries, String controlPlaneId);

        void onRejected(String kind, long nonce, String controlPlaneId);

        void onBroken(String reason);

        void onAcknowledged(long nonce, boolean rejected);
    }

    void open();

    void close();

    /** It answers so many ms late. */
    void setResponseDelay(double millis);

    /** It rejects the next messages. */
    void rejectNext(int messages);

    void setReadsPaused(boolean enabled);
}
