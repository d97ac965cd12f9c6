package sprucelanding.runtime.server;

/** The types of messages that a client may send, each with its name on the wire. */
enum ClientMessageType {
    /** Requests a {@code pong}; allowed at any time. */
    PING("ping"),
    /** A proxy begins its stream; see {@link JoinMessage}. */
    JOINED("joined"),
    /** A zone's collector begins its connection. */
    COLLECTOR("collector"),
    /** A proxy acknowledges an update; see {@link AppliedMessage}. */
    APPLIED("applied"),
    /** The demand at a proxy; see {@link UsageMessage}. */
    USAGE("usage"),
    /** A zone's request statistics for an endpoint; see {@link EndpointStatsMessage}. */
    ENDPOINT_STATS("heard"),
    /** Any other name. */
    UNKNOWN("");

    private final String wireName;

    ClientMessageType(String wireName) {
        this.wireName = wireName;
    }

    /** Returns the type with the given name, or {@link #UNKNOWN}. */
    static ClientMessageType of(String wireName) {
        for (ClientMessageType type : values()) {
            if (type != UNKNOWN && type.wireName.equals(wireName)) {
                return type;
            }
        }
        return UNKNOWN;
    }
}
