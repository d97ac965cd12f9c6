package sprucelanding.replay.capture;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.function.Consumer;

/**
 * Writes a capture on a thread of its own. Put is called from one thread and never waits: if the
 * disk can't keep up, whole blocks are dropped, and a block in their place tells how many events,
 * from when to when.
 */
public final class CaptureWriter implements AutoCloseable {
    private static final int BLOCK_BYTES = 64 * 1024;
    private static final double MAX_BLOCK_AGE_MILLIS =
            1000; // ms that an event waits in an open block

    private record PendingBlock(byte kind, byte[] content) {}

    private static final PendingBlock END_OF_CAPTURE = new PendingBlock((byte) -1, new byte[0]);
    private final ArrayBlockingQueue<PendingBlock> queue;
    private final OutputStream out;
    private final long maxFileBytes;
    private final Consumer<String> faultListener;
    private final Thread thread;
    private final EventEncoder encoder = new EventEncoder();
    private int eventsInBlock;
    private double blockOpenedAt = Double.NaN;
    private double lastEventAt;
    private int droppedEvents;
    private double droppedFrom;
    private double droppedTo;
    private volatile boolean stopped;

    /**
     * @param station the text that the governor was started with
     * @param blocks that may wait to be written
     * @param most bytes of the file; past them the capture ends, and says so
     * @param told what went wrong, from any thread
     */
    public CaptureWriter(
            Path file,
            String configText,
            int maxPendingBlocks,
            long maxFileBytes,
            Consumer<String> faultListener)
            throws IOException {
        this(
                Files.newOutputStream(file),
                configText,
                maxPendingBlocks,
                maxFileBytes,
                faultListener);
    }

    CaptureWriter(
            OutputStream out,
            String configText,
            int maxPendingBlocks,
            long maxFileBytes,
            Consumer<String> faultListener) {
        this.queue = new ArrayBlockingQueue<>(maxPendingBlocks);
        this.out = out;
        this.maxFileBytes = maxFileBytes;
        this.faultListener = faultListener;
        this.thread = new Thread(() -> writeBlocks(configText), "capture");
        thread.setDaemon(true);
        thread.start();
    }

    public void append(double at, EventType type, Object... fields) {
        if (stopped) {
            return;
        }
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

    private void flush() {
        if (eventsInBlock == 0) {
            return;
        }
        byte[] content = encoder.takeBlock();
        if (droppedEvents > 0) {
            EventEncoder gap = new EventEncoder();
            gap.append(EventType.CLOCK, droppedFrom);
            gap.append(EventType.CLOCK, droppedTo);
            gap.append(EventType.BELL, droppedEvents);
            if (queue.remainingCapacity() >= 2
                    && queue.offer(new PendingBlock(CaptureFormat.GAP_BLOCK, gap.takeBlock()))) {
                faultListener.accept("a capture dropped " + droppedEvents + " events");
                droppedEvents = 0;
            }
        }
        if (droppedEvents > 0
                || !queue.offer(new PendingBlock(CaptureFormat.EVENTS_BLOCK, content))) {
            droppedFrom = droppedEvents == 0 ? blockOpenedAt : droppedFrom;
            droppedTo = lastEventAt;
            droppedEvents += eventsInBlock;
        }
        eventsInBlock = 0;
        blockOpenedAt = Double.NaN;
    }

    private void writeBlocks(String configText) {
        int number = 0;
        long writtenBytes = 0;
        try (OutputStream output = out) {
            CaptureFormat.writeFileHeader(output);
            writtenBytes +=
                    CaptureFormat.writeBlock(
                            output,
                            CaptureFormat.HEADER_BLOCK,
                            number++,
                            configText.getBytes(StandardCharsets.UTF_8));
            output.flush();
            for (PendingBlock block = queue.take(); block != END_OF_CAPTURE; block = queue.take()) {
                writtenBytes +=
                        CaptureFormat.writeBlock(output, block.kind, number++, block.content);
                output.flush();
                if (writtenBytes > maxFileBytes) {
                    faultListener.accept("a capture ends: it has " + writtenBytes + " bytes");
                    break;
                }
            }
        } catch (IOException e) {
            faultListener.accept("a capture ends: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        stopped = true;
        queue.clear();
    }

    /** Writes what waits, for five seconds at most. Not from another thread while one puts. */
    @Override
    public void close() {
        flush();
        try {
            while (!stopped
                    && !queue.offer(
                            END_OF_CAPTURE, 10, java.util.concurrent.TimeUnit.MILLISECONDS)) {
                continue;
            }
            thread.join(5000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
