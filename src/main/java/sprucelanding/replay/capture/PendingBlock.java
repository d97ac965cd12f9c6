package sprucelanding.replay.capture;

/**
 * A block that waits to be written.
 *
 * @param kind kind of its content
 * @param content its content, uncompressed
 */
record PendingBlock(BlockKind kind, byte[] content) {}
