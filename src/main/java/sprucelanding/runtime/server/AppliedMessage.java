package sprucelanding.runtime.server;

/**
 * The message {@code applied}, by which a proxy acknowledges an update and all earlier updates on
 * its stream.
 *
 * @param acknowledgementId the number that the update carried in its field {@code nonce_out}
 */
record AppliedMessage(int acknowledgementId) {
    private static final String ACKNOWLEDGEMENT_ID = "version";
    private static final String LAG_MILLIS = "lag_ms";

    static AppliedMessage parse(MessageFields fields) {
        int acknowledgementId = fields.integer(ACKNOWLEDGEMENT_ID, Integer.MAX_VALUE);
        fields.number(LAG_MILLIS); // required by the protocol, but not used
        return new AppliedMessage(acknowledgementId);
    }
}
