package sprucelanding.replay.capture;

import java.util.List;

/**
 * Decodes the blocks of one capture, in order. Events without a time of their own happened at the
 * time of the last event that has one, also in an earlier block. Not thread safe.
 */
final class EventDecoder {
    private static final EventType[] EVENT_TYPES = EventType.values();

    private double now;
    private FieldCodec.Reader reader;

    /** Goes on with the next block. */
    void startBlock(byte[] content) {
        reader = new FieldCodec.Reader(content);
    }

    /** Whether the block holds another event. */
    boolean hasNext() {
        return reader.hasRemaining();
    }

    /**
     * Decodes the next event. Throws BufferUnderflowException or IndexOutOfBoundsException if the
     * block holds none.
     */
    CaptureEvent next() {
        EventType type = EVENT_TYPES[reader.readByte()];
        List<FieldType> fieldTypes = type.fieldTypes();
        Object[] fields = new Object[fieldTypes.size()];
        for (int i = 0; i < fields.length; i++) {
            fields[i] = nextField(fieldTypes.get(i));
        }
        if (type == EventType.CLOCK || type.hasTimestamp()) {
            now = (Double) fields[0];
        }
        return CaptureEvent.of(type, now, fields);
    }

    private Object nextField(FieldType type) {
        return switch (type) {
            case BOOLEAN -> reader.readBoolean();
            case INT -> reader.readInt();
            case LONG -> reader.readLong();
            case DOUBLE -> reader.readDouble();
            case STRING -> reader.readString();
        };
    }
}
