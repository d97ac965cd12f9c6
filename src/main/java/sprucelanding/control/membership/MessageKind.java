package sprucelanding.control.membership;

/** The kinds of {@link PeerMessage}; a kind's ordinal is its code on the wire. */
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
     * The kind of a code.
     *
     * @throws PeerCodec.MalformedPacketException if no kind has that code
     */
    static MessageKind ofCode(byte code) throws PeerCodec.MalformedPacketException {
        if (code < 0 || code >= BY_CODE.length) {
            throw new PeerCodec.MalformedPacketException("an unknown kind");
        }
        return BY_CODE[code];
    }
}
