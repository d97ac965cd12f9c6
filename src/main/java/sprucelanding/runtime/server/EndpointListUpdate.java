package sprucelanding.runtime.server;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import sprucelanding.control.settings.MalformedInputException;

/**
 * An endpoint list from discovery, or changes of it, with entries that are not parsed yet.
 *
 * @param revisionNumber discovery's revision of the list, a whole number
 * @param isFull whether the list replaces the previous one; otherwise it holds changes
 * @param entries the entries of endpoints; see {@link EndpointEntry}
 */
record EndpointListUpdate(JsonValue revisionNumber, boolean isFull, JsonArray entries) {
    static final String REVISION = "rev";
    static final String FULL = "all";
    static final String ENTRIES = "targets";

    /** Bound below which a double represents every whole number exactly. */
    private static final long MAX_WHOLE_NUMBER = 1L << 53;

    /**
     * Reads the list's fields but not its entries.
     *
     * @throws MalformedInputException if a field is absent or of the wrong type
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
            throw new MalformedInputException(
                    "not an endpoint list: rev (a whole number), all (a boolean) or targets (an array)"
                            + " is absent or of the wrong type");
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

    /** Returns discovery's revision of the list. */
    long revision() {
        return (long) revisionNumber.asDouble();
    }
}
