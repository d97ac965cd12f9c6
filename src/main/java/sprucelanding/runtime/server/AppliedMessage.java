package sprucelanding.runtime.server;

/**
 * {@code applied}: a proxy acknowledges an update, and by that all before it on its stream.
 *
 * @param acknowledgementId what the update asked to be acknowledged by ({@code nonce_out})
 */
record AppliedMessage(int acknowledgementId) {
    private static final String ACKNOWLEDGEMENT_ID = "version";
    private static final String LAG_MILLIS = "lag_ms";

    static AppliedMessage parse(MessageFields fields) {
        int acknowledgementId = fields.integer(ACKNOWLEDGEMENT_ID, Integer.MAX_VALUE);
        fields.number(LAG_MILLIS); // must be given, and is not used
        return new AppliedMessage(acknowledgementId);
    }
}
