package sprucelanding.replay.capture;

/**
 * An encoder that writes events into blocks. An encoded event is one byte with the ordinal of its
 * {@link EventType}, followed by its fields. Not thread safe.
 */
final class EventEncoder {
    private final FieldCodec.Writer writer = new FieldCodec.Writer();

    /**
     * Appends an event.
     *
     * @param type type of the event
     * @param fields one value for each field of the type, of the field's Java type
     */
    void append(EventType type, Object... fields) {
        writer.writeByte(type.ordinal());
        for (int i = 0; i < fields.length; i++) {
            switch (type.fieldTypes().get(i)) {
                case BOOLEAN -> writer.writeBoolean((Boolean) fields[i]);
                case INT -> writer.writeLong((Integer) fields[i]);
                case LONG -> writer.writeLong((Long) fields[i]);
                case DOUBLE -> writer.writeDouble((Double) fields[i]);
                case STRING -> writer.writeString((String) fields[i]);
                default -> throw new AssertionError(type.fieldTypes().get(i));
            }
        }
    }

    /** Returns the current size of the block, in bytes. */
    int size() {
        return writer.size();
    }

    /**
     * Returns the events appended since the last call. The fields of a block can be decoded without
     * any other block.
     */
    byte[] takeBlock() {
        return writer.takeBlock();
    }
}
