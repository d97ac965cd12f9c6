package sprucelanding.runtime.server;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import sprucelanding.control.settings.MalformedInputException;

/**
 * A list of discovery, or changes of it, its entries not read yet.
 *
 * @param revisionNumber discovery's number of it, a whole number
 * @param full whether it replaces what was listed before
 * @param entries what it says of endpoints; see {@link EndpointEntry}
 */
record EndpointListUpdate(JsonValue revisionNumber, boolean full, JsonArray entries) {
    static final String REVISION = "rev";
    static final String FULL = "all";
    static final String ENTRIES = "targets";

    /** Numbers below that are whole in a double, too. */
    private static final long MAX_WHOLE_NUMBER = 1L << 53;

    /**
     * Reads all but the entries.
     *
     * @throws MalformedInputException if a field is absent or of another type
     */
    static EndpointListUpdate parse(JsonObject json) {
        JsonValue entries = json.get(ENTRIES);
        JsonValue full = json.get(FULL);
        JsonValue revision = json.get(REVISION);
        if (entries == null
                || !entries.isArray()
                || full == null
                || !full.isBoolean()
                || !isWholeNumber(revision)) {
            throw new MalformedInputException("no list: rev, all or targets is missing");
        }
        return new EndpointListUpdate(revision, full.asBoolean(), entries.asArray());
    }

    private static boolean isWholeNumber(JsonValue value) {
        if (value == null || !value.isNumber()) {
            return false;
        }
        double number = value.asDouble();
        return number == Math.rint(number) && Math.abs(number) < MAX_WHOLE_NUMBER;
    }

    /**
     * Discovery's number of the list.
     *
     * @throws NumberFormatException if it was written with a fraction or an exponent
     */
    long revision() {
        return revisionNumber.asLong();
    }
}
