package sprucelanding.replay.capture;

/** What a block of a capture holds. The code is the block's first byte in the file. */
enum BlockKind {
    /** The first block: the configuration text that the governor was started with, UTF-8. */
    HEADER(0),
    /** Events. */
    EVENTS(1),
    /** In place of events that were dropped: when the first and the last were, and how many. */
    GAP(2),
    /** A kind that this version does not know; readers skip it. Never written. */
    UNKNOWN(-1);

    private final byte code;

    BlockKind(int code) {
        this.code = (byte) code;
    }

    byte code() {
        return code;
    }

    static BlockKind fromCode(byte code) {
        for (BlockKind kind : values()) {
            if (kind.code == code) {
                return kind;
            }
        }
        return UNKNOWN;
    }
}
