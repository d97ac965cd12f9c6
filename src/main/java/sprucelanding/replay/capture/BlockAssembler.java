package sprucelanding.replay.capture;

import java.util.concurrent.BlockingQueue;
import java.util.function.Consumer;

/**
 * The stage of a capture that collects events into blocks and queues the blocks for writing. If the
 * queue is full, a whole block is dropped instead. A {@link BlockKind#GAP} block then takes the
 * place of the dropped blocks: it holds the times of the first and the last dropped event and the
 * number of dropped events. No method blocks. Not thread safe: all calls come from the thread that
 * appends events.
 */
final class BlockAssembler {
    private static final int BLOCK_BYTES = 64 * 1024;

    /** A block is finished as soon as its events span at least this time. */
    private static final double MAX_BLOCK_AGE_MILLIS = 1000;

    private final BlockingQueue<PendingBlock> queue;
    private final Consumer<String> faultListener;
    private final EventEncoder encoder = new EventEncoder();
    private int eventCountInBlock;
    private double blockOpenedAt = Double.NaN; // NaN while the block is empty
    private double lastEventAt;
    private int droppedEventCount;
    private double firstDroppedAt;
    private double lastDroppedAt;

    /**
     * Creates an assembler.
     *
     * @param queue the queue that finished blocks are added to
     * @param faultListener receives a message about dropped events as soon as the block that stands
     *     for them is queued
     */
    BlockAssembler(BlockingQueue<PendingBlock> queue, Consumer<String> faultListener) {
        this.queue = queue;
        this.faultListener = faultListener;
    }

    /** Appends an event, and finishes the block if the block is large or old enough. */
    void append(double at, EventType type, Object... fields) {
        if (Double.isNaN(blockOpenedAt)) {
            blockOpenedAt = at;
        }
        encoder.append(type, fields);
        eventCountInBlock++;
        lastEventAt = at;
        if (encoder.size() >= BLOCK_BYTES || at - blockOpenedAt >= MAX_BLOCK_AGE_MILLIS) {
            flush();
        }
    }

    /** Finishes the open block and queues it or drops it; does nothing if the block is empty. */
    void flush() {
        if (eventCountInBlock == 0) {
            return;
        }
        byte[] content = encoder.takeBlock();
        if (droppedEventCount > 0) {
            offerGap();
        }
        boolean isQueued =
                droppedEventCount == 0 && queue.offer(new PendingBlock(BlockKind.EVENTS, content));
        if (!isQueued) {
            dropBlock();
        }
        eventCountInBlock = 0;
        blockOpenedAt = Double.NaN;
    }

    /** Queues a gap block for the dropped events, if the queue also has room for the next block. */
    private void offerGap() {
        EventEncoder gap = new EventEncoder();
        gap.append(EventType.CLOCK, firstDroppedAt);
        gap.append(EventType.CLOCK, lastDroppedAt);
        gap.append(EventType.BELL, droppedEventCount);
        if (queue.remainingCapacity() >= 2
                && queue.offer(new PendingBlock(BlockKind.GAP, gap.takeBlock()))) {
            faultListener.accept(
                    "capture dropped "
                            + droppedEventCount
                            + " events because the disk could not keep up");
            droppedEventCount = 0;
        }
    }

    private void dropBlock() {
        firstDroppedAt = droppedEventCount == 0 ? blockOpenedAt : firstDroppedAt;
        lastDroppedAt = lastEventAt;
        droppedEventCount += eventCountInBlock;
    }
}
