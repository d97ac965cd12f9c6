package sprucelanding.replay.capture;

import java.util.concurrent.BlockingQueue;
import java.util.function.Consumer;

/**
 * Collects events into blocks and queues them. If the queue is full, whole blocks are dropped, and
 * a block in their place tells how many events, and from when to when. Never waits. Not thread
 * safe: the thread that appends owns it.
 */
final class BlockAssembler {
    private static final int BLOCK_BYTES = 64 * 1024;

    /** How long an event waits in an open block. */
    private static final double MAX_BLOCK_AGE_MILLIS = 1000;

    private final BlockingQueue<PendingBlock> queue;
    private final Consumer<String> faultListener;
    private final EventEncoder encoder = new EventEncoder();
    private int eventsInBlock;
    private double blockOpenedAt = Double.NaN; // NaN while the block is empty
    private double lastEventAt;
    private int droppedEvents;
    private double droppedFrom;
    private double droppedTo;

    /**
     * @param queue where blocks go
     * @param faultListener told of dropped events once they are accounted for in the capture
     */
    BlockAssembler(BlockingQueue<PendingBlock> queue, Consumer<String> faultListener) {
        this.queue = queue;
        this.faultListener = faultListener;
    }

    /** Adds an event, and ends the block if it is large or old enough. */
    void append(double at, EventType type, Object... fields) {
        if (Double.isNaN(blockOpenedAt)) {
            blockOpenedAt = at;
        }
        encoder.append(type, fields);
        eventsInBlock++;
        lastEventAt = at;
        if (encoder.size() >= BLOCK_BYTES || at - blockOpenedAt >= MAX_BLOCK_AGE_MILLIS) {
            flush();
        }
    }

    /** Ends the block, if there are events in it. */
    void flush() {
        if (eventsInBlock == 0) {
            return;
        }
        byte[] content = encoder.takeBlock();
        if (droppedEvents > 0) {
            offerGap();
        }
        boolean queued =
                droppedEvents == 0 && queue.offer(new PendingBlock(BlockKind.EVENTS, content));
        if (!queued) {
            dropBlock();
        }
        eventsInBlock = 0;
        blockOpenedAt = Double.NaN;
    }

    /** Queues the block that stands for what was dropped, if the next events fit in after it. */
    private void offerGap() {
        EventEncoder gap = new EventEncoder();
        gap.append(EventType.CLOCK, droppedFrom);
        gap.append(EventType.CLOCK, droppedTo);
        gap.append(EventType.BELL, droppedEvents);
        if (queue.remainingCapacity() >= 2
                && queue.offer(new PendingBlock(BlockKind.GAP, gap.takeBlock()))) {
            faultListener.accept("a capture dropped " + droppedEvents + " events");
            droppedEvents = 0;
        }
    }

    private void dropBlock() {
        droppedFrom = droppedEvents == 0 ? blockOpenedAt : droppedFrom;
        droppedTo = lastEventAt;
        droppedEvents += eventsInBlock;
    }
}
