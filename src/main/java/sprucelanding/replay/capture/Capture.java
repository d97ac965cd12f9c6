package sprucelanding.replay.capture;

import java.io.IOException;
import java.nio.BufferUnderflowException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * A capture read from a file: the configuration of the captured governor, the events, and the place
 * at which the readable part ends if the file is truncated or damaged. Not thread safe.
 */
public final class Capture {
    /**
     * A run of events that were dropped because the disk could not keep up.
     *
     * @param from time of the first dropped event, in ms on the governor's clock
     * @param to time of the last dropped event, in ms on the governor's clock
     * @param events number of dropped events
     */
    public record Gap(double from, double to, int events) {}

    private final CaptureFormat.Contents contents;
    private final List<Gap> gaps = new ArrayList<>();

    private Capture(byte[] file) throws CaptureFormatException {
        contents = CaptureFormat.read(file);
    }

    /**
     * Reads an entire capture file into memory.
     *
     * @throws CaptureFormatException if the file is not a capture or has another format version;
     *     the message gives the offset and the reason
     * @throws IOException if the file cannot be read
     */
    public static Capture read(Path file) throws IOException {
        return new Capture(Files.readAllBytes(file));
    }

    static Capture read(byte[] file) throws CaptureFormatException {
        return new Capture(file);
    }

    /** Returns the configuration text that the governor was started with. */
    public String configText() {
        return new String(contents.blocks().get(0).content(), StandardCharsets.UTF_8);
    }

    /**
     * Returns the offset of the first unreadable block and the reason, or null if the entire file
     * was read.
     */
    public String truncation() {
        return contents.truncation().orElse(null);
    }

    /**
     * Returns the gaps that the last call of {@link #forEachEvent} found; empty before the first
     * call.
     */
    public List<Gap> gaps() {
        return gaps;
    }

    /**
     * Passes each event to a consumer, in the order of the file. For a gap the consumer receives
     * null.
     *
     * @throws CaptureFormatException if a block cannot be decoded; the message gives the offset of
     *     the block
     */
    public void forEachEvent(Consumer<CaptureEvent> consumer) throws IOException {
        gaps.clear();
        EventDecoder decoder = new EventDecoder();
        List<CaptureFormat.Block> blocks = contents.blocks();
        for (CaptureFormat.Block block : blocks.subList(1, blocks.size())) {
            try {
                readBlock(block, decoder, consumer);
            } catch (BufferUnderflowException
                    | IndexOutOfBoundsException
                    | NegativeArraySizeException e) {
                throw new CaptureFormatException(
                        block.offset(), "block cannot be decoded as events", e);
            }
        }
    }

    private void readBlock(
            CaptureFormat.Block block, EventDecoder decoder, Consumer<CaptureEvent> consumer) {
        decoder.startBlock(block.content());
        if (block.kind() == BlockKind.GAP) {
            gaps.add(readGap(decoder));
            consumer.accept(null);
        }
        // Blocks of an unknown kind, and header blocks after the first block, are skipped.
        while (block.kind() == BlockKind.EVENTS && decoder.hasNext()) {
            consumer.accept(decoder.next());
        }
    }

    private static Gap readGap(EventDecoder decoder) {
        double from = decoder.next().doubleAt(0);
        double to = decoder.next().doubleAt(0);
        int events = decoder.next().intAt(0);
        return new Gap(from, to, events);
    }
}
