package sprucelanding.replay.capture;

/** The type of an event field. {@link FieldCodec} defines the encoding of each type. */
enum FieldType {
    BOOLEAN,
    INT,
    LONG,
    DOUBLE,
    STRING
}
