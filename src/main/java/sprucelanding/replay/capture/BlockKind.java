package sprucelanding.replay.capture;

/**
 * The kind of content of a block. The code of the kind is the first byte of the block in the file.
 */
enum BlockKind {
    /** The first block: the configuration text that the governor was started with, in UTF-8. */
    HEADER(0),
    /** Events, encoded by {@link EventEncoder}. */
    EVENTS(1),
    /**
     * A block in place of dropped events: the time of the first, the time of the last and the
     * number of dropped events.
     */
    GAP(2),
    /** A kind that this version does not know. Readers skip such blocks; none is ever written. */
    UNKNOWN(-1);

    private final byte code;

    BlockKind(int code) {
        this.code = (byte) code;
    }

    byte code() {
        return code;
    }

    /** Returns the kind with a code; {@link #UNKNOWN} if there is none. */
    static BlockKind fromCode(byte code) {
        for (BlockKind kind : values()) {
            if (kind.code == code) {
                return kind;
            }
        }
        return UNKNOWN;
    }
}
