package sprucelanding.replay.capture;

/**
 * A block that waits to be written.
 *
 * @param kind what it holds
 * @param content its content, uncompressed
 */
record PendingBlock(BlockKind kind, byte[] content) {}
