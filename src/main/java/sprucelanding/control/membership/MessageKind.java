package sprucelanding.control.membership;

/** The kinds of {@link PeerMessage}. A kind's ordinal is its code on the wire. */
enum MessageKind {
    HEARTBEAT,
    LEASE_REQUEST,
    GRANT,
    RELEASE,
    EVIDENCE;

    private static final MessageKind[] BY_CODE = values();

    byte code() {
        return (byte) ordinal();
    }

    /**
     * Returns the kind with a code.
     *
     * @throws PeerCodec.MalformedPacketException if no kind has this code
     */
    static MessageKind ofCode(byte code) throws PeerCodec.MalformedPacketException {
        if (code < 0 || code >= BY_CODE.length) {
            throw new PeerCodec.MalformedPacketException(
                    "unknown message kind "
                            + code
                            + "; expected a kind from 0 to "
                            + (BY_CODE.length - 1));
        }
        return BY_CODE[code];
    }
}
