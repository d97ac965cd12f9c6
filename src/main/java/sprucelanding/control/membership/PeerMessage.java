package sprucelanding.control.membership;

/**
 * A message between governors. {@link PeerCodec} turns it into a datagram and back; it may be lost,
 * delayed or doubled on its way.
 */
public sealed interface PeerMessage permits Heartbeat, LeaseRequest, Grant, Release, Evidence {
    /** Calls the method of the visitor that is for this kind of message. */
    void accept(Visitor visitor);

    /** One method for each kind of message. */
    interface Visitor {
        /** A member lives, and tells what it knows of others. */
        void visitHeartbeat(Heartbeat heartbeat);

        /** A governor renews its session and claims proxies. */
        void visitLeaseRequest(LeaseRequest request);

        /** A voter answers a lease request. */
        void visitGrant(Grant grant);

        /** A governor gives proxies up. */
        void visitRelease(Release release);

        /** A governor tells what its proxies observed at the endpoints. */
        void visitEvidence(Evidence evidence);
    }
}
