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
 * A capture that was read from a file: the configuration of its governor, its events, and where it
 * ends early. Not thread safe.
 */
public final class Capture {
    /**
     * Events that were dropped because the disk could not keep up.
     *
     * @param from time of the first, in ms on the governor's clock
     * @param to time of the last
     * @param events how many
     */
    public record Gap(double from, double to, int events) {}

    private final CaptureFormat.Contents contents;
    private final List<Gap> gaps = new ArrayList<>();

    private Capture(byte[] file) throws CaptureFormatException {
        contents = CaptureFormat.read(file);
    }

    /**
     * Reads a whole file into memory. Throws CaptureFormatException, with offset and reason, for a
     * file that is no capture or has another version, and other IOExceptions if it cannot be read.
     */
    public static Capture read(Path file) throws IOException {
        return new Capture(Files.readAllBytes(file));
    }

    static Capture read(byte[] file) throws CaptureFormatException {
        return new Capture(file);
    }

    /** The configuration text that the governor was started with. */
    public String configText() {
        return new String(contents.blocks().get(0).content(), StandardCharsets.UTF_8);
    }

    /** Offset and reason if the capture ends before the file does; else null. */
    public String truncation() {
        return contents.truncation().orElse(null);
    }

    /** Gaps that the last call of {@link #forEachEvent} met; empty before. */
    public List<Gap> gaps() {
        return gaps;
    }

    /**
     * Passes each event to a consumer, in order; null stands for a gap. Throws
     * CaptureFormatException with the offset of a block that does not hold events.
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
                throw new CaptureFormatException(block.offset(), "a block that holds no events", e);
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
        // Neither a header that is not the first block nor an unknown kind holds events.
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
