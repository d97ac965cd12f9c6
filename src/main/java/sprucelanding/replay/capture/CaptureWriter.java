package sprucelanding.replay.capture;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A writer of a capture file. Events are collected into blocks on the caller's thread. A dedicated
 * thread named "capture" compresses and writes the blocks. {@link #append} never blocks: if the
 * disk cannot keep up, whole blocks are dropped, and a {@link BlockKind#GAP} block records how many
 * events were dropped and the times of the first and the last of them.
 *
 * <p>{@link #append} and {@link #close} must be called from one thread.
 */
public final class CaptureWriter implements AutoCloseable {
    private static final int MAX_ROTATED_FILES = 999;
    private static final long OFFER_RETRY_MILLIS = 10;
    private static final long CLOSE_TIMEOUT_MILLIS = 5000;

    private static final PendingBlock END_MARK = new PendingBlock(BlockKind.UNKNOWN, new byte[0]);

    private final ArrayBlockingQueue<PendingBlock> queue;
    private final OutputStream out;
    private final long maxFileBytes;
    private final Consumer<String> faultListener;
    private final Thread thread;

    /** Used on the caller's thread only. */
    private final BlockAssembler assembler;

    /** Set by the writing thread when it ends; later events are ignored. */
    private volatile boolean isStopped;

    /**
     * Starts a capture in a file. An existing file is overwritten.
     *
     * @param file the file to write
     * @param configText the configuration text that the governor was started with
     * @param maxPendingBlocks number of blocks that may wait to be written
     * @param maxFileBytes the capture ends when the file grows beyond this size
     * @param faultListener receives a message about dropped events, an I/O error or the size limit;
     *     called on the caller's thread and on the writing thread
     * @throws IOException if the file cannot be opened
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
        this.assembler = new BlockAssembler(queue, faultListener);
        this.out = out;
        this.maxFileBytes = maxFileBytes;
        this.faultListener = faultListener;
        this.thread = new Thread(() -> writeBlocks(configText), "capture");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Renames the capture of an earlier generation to the first unused name of FILE.1, FILE.2 and
     * so on. Does nothing if there is no earlier capture. Does nothing either if 999 earlier
     * captures exist; the next capture then overwrites the file.
     *
     * @param file the file of the next capture
     * @throws IOException if the file cannot be moved
     */
    public static void rotate(Path file) throws IOException {
        for (int rotation = 1; rotation <= MAX_ROTATED_FILES && Files.exists(file); rotation++) {
            Path rotated = Path.of(file + "." + rotation);
            if (!Files.exists(rotated)) {
                Files.move(file, rotated);
            }
        }
    }

    /**
     * Records an event. Never blocks and never fails. Does nothing after the capture has ended.
     *
     * @param at time of the event, in ms on the governor's clock
     * @param type type of the event
     * @param fields one value for each field of the type, of the field's Java type
     */
    public void append(double at, EventType type, Object... fields) {
        if (!isStopped) {
            assembler.append(at, type, fields);
        }
    }

    private void writeBlocks(String configText) {
        try (OutputStream output = out) {
            writeBlocks(output, configText);
        } catch (IOException e) {
            faultListener.accept("capture ended: writing the file failed: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        isStopped = true;
        queue.clear();
    }

    private void writeBlocks(OutputStream output, String configText)
            throws IOException, InterruptedException {
        int number = 0;
        byte[] header = configText.getBytes(StandardCharsets.UTF_8);
        CaptureFormat.writeFileHeader(output);
        long writtenBytes = CaptureFormat.writeBlock(output, BlockKind.HEADER, number++, header);
        output.flush();
        for (PendingBlock block = queue.take(); block != END_MARK; block = queue.take()) {
            writtenBytes +=
                    CaptureFormat.writeBlock(output, block.kind(), number++, block.content());
            output.flush();
            if (writtenBytes > maxFileBytes) {
                faultListener.accept(
                        "capture ended: the file has "
                                + writtenBytes
                                + " bytes, the limit is "
                                + maxFileBytes);
                break;
            }
        }
    }

    /**
     * Writes the pending blocks and ends the capture. Waits until the queue accepts the end mark,
     * and then at most five seconds for the writing thread to end.
     */
    @Override
    public void close() {
        assembler.flush();
        try {
            boolean isEndQueued = false;
            while (!isStopped && !isEndQueued) {
                isEndQueued = queue.offer(END_MARK, OFFER_RETRY_MILLIS, TimeUnit.MILLISECONDS);
            }
            thread.join(CLOSE_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
