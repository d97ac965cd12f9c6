package sprucelanding.replay.capture;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Puts events into bytes; numbers are short where they are small, and doubles where they are near
 * the one before.
 */
final class EventEncoder {
    private byte[] bytes = new byte[4096];
    private int size;
    private long lastDouble;

    void append(EventType type, Object... fields) {
        ensureCapacity(1);
        bytes[size++] = (byte) type.ordinal();
        for (int i = 0; i < fields.length; i++) {
            switch (type.fieldTypes.charAt(i)) {
                case 'b' -> appendLong((Boolean) fields[i] ? 1 : 0);
                case 'i' -> appendLong((Integer) fields[i]);
                case 'l' -> appendLong((Long) fields[i]);
                case 'd' -> appendDouble((Double) fields[i]);
                default -> appendString((String) fields[i]);
            }
        }
    }

    private void appendDouble(double value) {
        long bits = Double.doubleToRawLongBits(value);
        appendLong(bits - lastDouble);
        lastDouble = bits;
    }

    private void appendString(String value) {
        byte[] utf8 = value.getBytes(StandardCharsets.UTF_8);
        appendLong(utf8.length);
        ensureCapacity(utf8.length);
        System.arraycopy(utf8, 0, bytes, size, utf8.length);
        size += utf8.length;
    }

    private void appendLong(long value) {
        ensureCapacity(10);
        long remaining = value << 1 ^ value >> 63;
        while ((remaining & ~0x7fL) != 0) {
            bytes[size++] = (byte) (remaining & 0x7f | 0x80);
            remaining >>>= 7;
        }
        bytes[size++] = (byte) remaining;
    }

    private void ensureCapacity(int additionalBytes) {
        if (size + additionalBytes > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(size + additionalBytes, 2 * bytes.length));
        }
    }

    int size() {
        return size;
    }

    /** All that was put since the last call; each block stands alone. */
    byte[] takeBlock() {
        byte[] block = Arrays.copyOf(bytes, size);
        size = 0;
        lastDouble = 0;
        return block;
    }
}
