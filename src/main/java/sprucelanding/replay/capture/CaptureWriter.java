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
 * Writes a capture. Events are collected into blocks on the caller's thread; a thread of its own,
 * named "capture", compresses and writes them. {@link #append} never waits: if the disk cannot keep
 * up, whole blocks are dropped, and a block in their place tells how many events, and from when to
 * when. Call {@link #append} and {@link #close} from one thread.
 */
public final class CaptureWriter implements AutoCloseable {
    private static final int MAX_ROTATED_FILES = 999;
    private static final long OFFER_RETRY_MILLIS = 10;
    private static final long CLOSE_TIMEOUT_MILLIS = 5000;

    private static final PendingBlock END_OF_CAPTURE =
            new PendingBlock(BlockKind.UNKNOWN, new byte[0]);

    private final ArrayBlockingQueue<PendingBlock> queue;
    private final OutputStream out;
    private final long maxFileBytes;
    private final Consumer<String> faultListener;
    private final Thread thread;

    /** Used by the caller's thread alone. */
    private final BlockAssembler assembler;

    /** Set by the writing thread when it ends; from then on events are ignored. */
    private volatile boolean stopped;

    /**
     * Starts a capture in a file, which is overwritten if it exists.
     *
     * @param file where to write
     * @param configText the text that the governor was started with
     * @param maxPendingBlocks how many blocks may wait to be written
     * @param maxFileBytes size of the file past which the capture ends
     * @param faultListener told of each drop, error or early end; called from either thread
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
     * Moves a capture of an earlier incarnation out of the way, to the first free one of FILE.1,
     * FILE.2 and so on. Does nothing if there is none, or if 999 were kept before: then the file is
     * overwritten.
     *
     * @param file where the next capture goes
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
     * Records an event. Never waits and never fails; after the capture ended it does nothing.
     *
     * @param at when it happened, in ms on the governor's clock
     * @param type what happened
     * @param fields one value for each of the type's fields, of the field's Java type
     */
    public void append(double at, EventType type, Object... fields) {
        if (!stopped) {
            assembler.append(at, type, fields);
        }
    }

    private void writeBlocks(String configText) {
        try (OutputStream output = out) {
            writeBlocks(output, configText);
        } catch (IOException e) {
            faultListener.accept("a capture ends: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        stopped = true;
        queue.clear();
    }

    private void writeBlocks(OutputStream output, String configText)
            throws IOException, InterruptedException {
        int number = 0;
        byte[] header = configText.getBytes(StandardCharsets.UTF_8);
        CaptureFormat.writeFileHeader(output);
        long writtenBytes = CaptureFormat.writeBlock(output, BlockKind.HEADER, number++, header);
        output.flush();
        for (PendingBlock block = queue.take(); block != END_OF_CAPTURE; block = queue.take()) {
            writtenBytes +=
                    CaptureFormat.writeBlock(output, block.kind(), number++, block.content());
            output.flush();
            if (writtenBytes > maxFileBytes) {
                faultListener.accept("a capture ends: it has " + writtenBytes + " bytes");
                break;
            }
        }
    }

    /** Writes what is pending and ends the capture; waits five seconds at most for the disk. */
    @Override
    public void close() {
        assembler.flush();
        try {
            boolean endQueued = false;
            while (!stopped && !endQueued) {
                endQueued = queue.offer(END_OF_CAPTURE, OFFER_RETRY_MILLIS, TimeUnit.MILLISECONDS);
            }
            thread.join(CLOSE_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
