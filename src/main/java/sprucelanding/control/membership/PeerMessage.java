package sprucelanding.control.membership;

/**
 * A message between governors. {@link PeerCodec} turns it into a datagram and back; it may be lost,
 * delayed or doubled on its way.
 */
public sealed interface PeerMessage permits Heartbeat, LeaseRequest, Grant, Release, Evidence {
    /** Calls the method of the handler that is for this kind of message. */
    void deliverTo(Handler handler);

    /** One method for each kind of message. */
    interface Handler {
        /** A member lives, and tells what it knows of others. */
        void handleHeartbeat(Heartbeat heartbeat);

        /** A governor renews its session and claims proxies. */
        void handleLeaseRequest(LeaseRequest request);

        /** A voter answers a lease request. */
        void handleGrant(Grant grant);

        /** A governor gives proxies up. */
        void handleRelease(Release release);

        /** A governor tells what its proxies observed at the endpoints. */
        void handleEvidence(Evidence evidence);
    }
}
