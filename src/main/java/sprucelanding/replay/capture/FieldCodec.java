package sprucelanding.replay.capture;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The encoding of event fields within a block.
 *
 * <ul>
 *   <li>An integer is a zigzag varint of one to ten bytes, like sint64 in Protocol Buffers. Each
 *       byte holds seven bits, the lowest bits first; the highest bit of a byte is set if another
 *       byte follows.
 *   <li>A boolean is the integer 0 or 1.
 *   <li>A double is an integer: the bits of the double minus the bits of the preceding double in
 *       the same block, or minus 0 for the first double. The difference is small for times that are
 *       close to each other.
 *   <li>A string is its length in bytes as an integer, followed by its UTF-8 bytes.
 * </ul>
 */
final class FieldCodec {
    private static final int VARINT_BITS_PER_BYTE = 7;
    private static final int VARINT_VALUE_MASK = 0x7f;
    private static final int VARINT_CONTINUATION_BIT = 0x80;
    private static final int MAX_VARINT_BYTES = 10;

    private FieldCodec() {}

    /** A writer that collects the bytes of one block at a time. Not thread safe. */
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
            while ((remaining & ~(long) VARINT_VALUE_MASK) != 0) {
                bytes[size++] = (byte) (remaining & VARINT_VALUE_MASK | VARINT_CONTINUATION_BIT);
                remaining >>>= VARINT_BITS_PER_BYTE;
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

        /** Returns the number of bytes written since the last call of {@link #takeBlock}. */
        int size() {
            return size;
        }

        /**
         * Returns the bytes written since the last call. The next block does not depend on this
         * block.
         */
        byte[] takeBlock() {
            byte[] block = Arrays.copyOf(bytes, size);
            size = 0;
            lastDoubleBits = 0;
            return block;
        }
    }

    /**
     * A reader of one block. The read methods throw BufferUnderflowException if the block ends
     * within a field.
     */
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
            for (int byteIndex = 0; byteIndex < MAX_VARINT_BYTES; byteIndex++) {
                byte next = buffer.get();
                value |= (long) (next & VARINT_VALUE_MASK) << byteIndex * VARINT_BITS_PER_BYTE;
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
