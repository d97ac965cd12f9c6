package sprucelanding.runtime.server;

/** Bounds the bytes that unfinished messages of all connections take. Event loop's thread only. */
final class ByteBudget {
    private final int maxBytes;
    private int reservedBytes;

    ByteBudget(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Counts more bytes as reserved; false if these are too many now. They count all the same. */
    boolean reserve(int byteCount) {
        reservedBytes += byteCount;
        return reservedBytes <= maxBytes;
    }

    void release(int byteCount) {
        reservedBytes -= byteCount;
    }

    int reservedBytes() {
        return reservedBytes;
    }
}
