package sprucelanding.replay.capture;

/** Type of one field of an event; {@link FieldCodec} says how each is written. */
enum FieldType {
    BOOLEAN,
    INT,
    LONG,
    DOUBLE,
    STRING
}
