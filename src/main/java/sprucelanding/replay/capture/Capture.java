package sprucelanding.replay.capture;

import java.io.IOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** A capture as it is read: whose it is, how far it is whole, and its events. */
public final class Capture {
    /** Events that were dropped because the disk could not keep up. */
    public record Gap(double from, double to, int events) {}

    private final List<CaptureFormat.Block> blocks;
    private final List<String> truncation = new ArrayList<>();
    private final List<Gap> gaps = new ArrayList<>();

    private Capture(byte[] file) throws IOException {
        blocks = CaptureFormat.readBlocks(file, truncation);
    }

    /** Throws IOException, with offset and reason, for what is no capture or a newer one. */
    public static Capture read(Path file) throws IOException {
        return new Capture(Files.readAllBytes(file));
    }

    static Capture read(byte[] file) throws IOException {
        return new Capture(file);
    }

    /** The text that the governor was started with. */
    public String configText() {
        return new String(blocks.get(0).content(), StandardCharsets.UTF_8);
    }

    /** Why it ends before the file does, with the offset; null if it does not. */
    public String truncation() {
        return truncation.isEmpty() ? null : truncation.get(0);
    }

    /** Known once its events were read. */
    public List<Gap> gaps() {
        return gaps;
    }

    /**
     * Each event in turn; null stands for a gap. Throws IOException with the offset of a block that
     * holds what is none.
     */
    public void forEachEvent(Consumer<CaptureEvent> consumer) throws IOException {
        gaps.clear();
        double[] now = {0};
        for (CaptureFormat.Block block : blocks.subList(1, blocks.size())) {
            try {
                BlockReader reader = new BlockReader(block.content(), now);
                if (block.kind() == CaptureFormat.GAP_BLOCK) {
                    gaps.add(
                            new Gap(
                                    reader.next().doubleAt(0),
                                    reader.next().doubleAt(0),
                                    reader.next().intAt(0)));
                    consumer.accept(null);
                }
                while (block.kind() == CaptureFormat.EVENTS_BLOCK && reader.hasNext()) {
                    consumer.accept(reader.next());
                }
            } catch (BufferUnderflowException
                    | IndexOutOfBoundsException
                    | NegativeArraySizeException e) {
                throw new IOException(
                        "offset " + block.offset() + ": a block that holds no events", e);
            }
        }
    }

    /** One block's events. */
    private static final class BlockReader {
        private static final EventType[] EVENT_TYPES = EventType.values();
        private final ByteBuffer buffer;
        private final double[] now;
        private long lastDouble;

        BlockReader(byte[] content, double[] now) {
            buffer = ByteBuffer.wrap(content);
            this.now = now;
        }

        boolean hasNext() {
            return buffer.hasRemaining();
        }

        CaptureEvent next() {
            EventType type = EVENT_TYPES[buffer.get()];
            Object[] fields = new Object[type.fieldTypes.length()];
            for (int i = 0; i < fields.length; i++) {
                fields[i] =
                        switch (type.fieldTypes.charAt(i)) {
                            case 'b' -> readLong() != 0;
                            case 'i' -> (int) readLong();
                            case 'l' -> readLong();
                            case 'd' -> readDouble();
                            default -> readString();
                        };
            }
            if (type == EventType.CLOCK || type.hasTimestamp()) {
                now[0] = (Double) fields[0];
            }
            return CaptureEvent.of(type, now[0], fields);
        }

        private double readDouble() {
            lastDouble += readLong();
            return Double.longBitsToDouble(lastDouble);
        }

        private String readString() {
            long length = readLong();
            if (length < 0 || length > buffer.remaining()) {
                throw new BufferUnderflowException();
            }
            byte[] utf8 = new byte[(int) length];
            buffer.get(utf8);
            return new String(utf8, StandardCharsets.UTF_8);
        }

        private long readLong() {
            long value = 0;
            for (int shift = 0; shift < 70; shift += 7) {
                byte next = buffer.get();
                value |= (long) (next & 0x7f) << shift;
                if (next >= 0) {
                    return value >>> 1 ^ -(value & 1);
                }
            }
            throw new BufferUnderflowException();
        }
    }
}
