package sprucelanding.replay.capture;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * How fields of events are written within a block.
 *
 * <ul>
 *   <li>Integers are zigzag varints of one to ten bytes, seven bits a byte, the lowest first, as in
 *       Protocol Buffers' sint64; the highest bit of a byte says that another follows.
 *   <li>Booleans are the integers 0 and 1.
 *   <li>Doubles are the integer difference of their bits to those of the double before in the same
 *       block (to 0 for the first), which is small for nearby times.
 *   <li>Strings are their length in bytes as an integer, then their UTF-8.
 * </ul>
 */
final class FieldCodec {
    private static final int BITS_PER_BYTE = 7;
    private static final int LOW_BITS = 0x7f;
    private static final int CONTINUES = 0x80;
    private static final int MAX_VARINT_BYTES = 10;

    private FieldCodec() {}

    /** Collects one block's bytes at a time. Not thread safe. */
    static final class Writer {
        private static final int INITIAL_BYTES = 4096;

        private byte[] bytes = new byte[INITIAL_BYTES];
        private int size;
        private long lastDoubleBits;

        void writeByte(int value) {
            ensureCapacity(1);
            bytes[size++] = (byte) value;
        }

        void writeBoolean(boolean value) {
            writeLong(value ? 1 : 0);
        }

        void writeLong(long value) {
            ensureCapacity(MAX_VARINT_BYTES);
            long remaining = value << 1 ^ value >> 63;
            while ((remaining & ~(long) LOW_BITS) != 0) {
                bytes[size++] = (byte) (remaining & LOW_BITS | CONTINUES);
                remaining >>>= BITS_PER_BYTE;
            }
            bytes[size++] = (byte) remaining;
        }

        void writeDouble(double value) {
            long bits = Double.doubleToRawLongBits(value);
            writeLong(bits - lastDoubleBits);
            lastDoubleBits = bits;
        }

        void writeString(String value) {
            byte[] utf8 = value.getBytes(StandardCharsets.UTF_8);
            writeLong(utf8.length);
            ensureCapacity(utf8.length);
            System.arraycopy(utf8, 0, bytes, size, utf8.length);
            size += utf8.length;
        }

        private void ensureCapacity(int additionalBytes) {
            if (size + additionalBytes > bytes.length) {
                bytes = Arrays.copyOf(bytes, Math.max(size + additionalBytes, 2 * bytes.length));
            }
        }

        /** Bytes since the last call of {@link #takeBlock}. */
        int size() {
            return size;
        }

        /** All that was written since the last call; the next block does not depend on it. */
        byte[] takeBlock() {
            byte[] block = Arrays.copyOf(bytes, size);
            size = 0;
            lastDoubleBits = 0;
            return block;
        }
    }

    /** Reads one block. Throws BufferUnderflowException if the block ends within a field. */
    static final class Reader {
        private final ByteBuffer buffer;
        private long lastDoubleBits;

        Reader(byte[] block) {
            buffer = ByteBuffer.wrap(block);
        }

        boolean hasRemaining() {
            return buffer.hasRemaining();
        }

        int readByte() {
            return buffer.get();
        }

        boolean readBoolean() {
            return readLong() != 0;
        }

        int readInt() {
            return (int) readLong();
        }

        long readLong() {
            long value = 0;
            for (int read = 0; read < MAX_VARINT_BYTES; read++) {
                byte next = buffer.get();
                value |= (long) (next & LOW_BITS) << read * BITS_PER_BYTE;
                if (next >= 0) {
                    return value >>> 1 ^ -(value & 1);
                }
            }
            throw new BufferUnderflowException();
        }

        double readDouble() {
            lastDoubleBits += readLong();
            return Double.longBitsToDouble(lastDoubleBits);
        }

        String readString() {
            long length = readLong();
            if (length < 0 || length > buffer.remaining()) {
                throw new BufferUnderflowException();
            }
            byte[] utf8 = new byte[(int) length];
            buffer.get(utf8);
            return new String(utf8, StandardCharsets.UTF_8);
        }
    }
}
