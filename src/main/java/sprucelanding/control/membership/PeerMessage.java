package sprucelanding.control.membership;

/**
 * A message between governors. {@link PeerCodec} encodes it as a datagram and decodes it. A message
 * may be lost, delayed or duplicated in transit.
 */
public sealed interface PeerMessage permits Heartbeat, LeaseRequest, Grant, Release, Evidence {
    /** Calls the handler method for this kind of message. */
    void deliverTo(Handler handler);

    /** A receiver of messages, with one method for each kind of message. */
    interface Handler {
        /** Handles a sign of life of a member, with the states of some other members. */
        void handleHeartbeat(Heartbeat heartbeat);

        /** Handles a request that renews a session and claims proxies. */
        void handleLeaseRequest(LeaseRequest request);

        /** Handles a voter's answer to a lease request. */
        void handleGrant(Grant grant);

        /** Handles the release of proxies by a governor. */
        void handleRelease(Release release);

        /** Handles what the proxies of a governor observed at the endpoints. */
        void handleEvidence(Evidence evidence);
    }
}
