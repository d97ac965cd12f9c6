package sprucelanding.replay.capture;

import java.util.List;

/**
 * A decoder for the blocks of one capture, in order. An event without a time field gets the time of
 * the last event that had one, even if that event is in an earlier block. Not thread safe.
 */
final class EventDecoder {
    private static final EventType[] EVENT_TYPES = EventType.values();

    private double now;
    private FieldCodec.Reader reader;

    /** Continues with the uncompressed content of the next block. */
    void startBlock(byte[] content) {
        reader = new FieldCodec.Reader(content);
    }

    /** Returns whether the current block holds another event. */
    boolean hasNext() {
        return reader.hasRemaining();
    }

    /**
     * Decodes the next event.
     *
     * @throws java.nio.BufferUnderflowException if the block ends within the event
     * @throws IndexOutOfBoundsException if the type of the event is unknown
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
