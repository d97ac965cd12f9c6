package sprucelanding.runtime.server;

/**
 * A budget for the memory of unfinished messages, shared by all connections. It is used on the
 * event loop's thread only.
 */
final class ByteBudget {
    private final int maxBytes;
    private int reservedBytes;

    ByteBudget(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Reserves bytes if they fit.
     *
     * @return whether the bytes are reserved; nothing is reserved otherwise
     */
    boolean reserve(int byteCount) {
        if (byteCount > maxBytes - reservedBytes) {
            return false;
        }
        reservedBytes += byteCount;
        return true;
    }

    /** Releases bytes that were reserved. */
    void release(int byteCount) {
        if (byteCount > reservedBytes) {
            throw new IllegalStateException(
                    "released " + byteCount + " bytes of " + reservedBytes + " reserved bytes");
        }
        reservedBytes -= byteCount;
    }

    int reservedBytes() {
        return reservedBytes;
    }
}
