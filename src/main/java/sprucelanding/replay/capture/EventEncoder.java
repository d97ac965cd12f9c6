package sprucelanding.replay.capture;

/**
 * Encodes events into blocks: an event is a byte with the position of its type in {@link
 * EventType}, then its fields. Not thread safe.
 */
final class EventEncoder {
    private final FieldCodec.Writer writer = new FieldCodec.Writer();

    /**
     * Appends an event.
     *
     * @param type the event's type
     * @param fields one value for each of the type's fields, of the field's Java type
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

    /** Bytes of the block so far. */
    int size() {
        return writer.size();
    }

    /** The events since the last call; each block can be read without the others. */
    byte[] takeBlock() {
        return writer.takeBlock();
    }
}
