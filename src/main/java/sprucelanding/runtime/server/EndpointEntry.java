package sprucelanding.runtime.server;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import sprucelanding.control.decision.EndpointState;
import sprucelanding.control.settings.MalformedInputException;

/**
 * An entry of an endpoint list.
 *
 * @param uid discovery's name of the endpoint
 * @param state whether the endpoint may be sent requests
 * @param attributes the other fields; absent only for an endpoint that is gone, for which the name
 *     suffices
 */
record EndpointEntry(String uid, EndpointState state, Optional<Attributes> attributes) {
    /**
     * The fields of an entry other than name and state.
     *
     * @param address the endpoint's address
     * @param zone name of the endpoint's zone, one of the site's zones
     * @param kind name or number of the endpoint's machine kind as received; null if absent
     * @param weight capacity as a multiple of the usual capacity
     * @param bootMillis the endpoint's last start, Unix time in ms by discovery's clock; 0 if long
     *     past
     */
    record Attributes(
            InetSocketAddress address,
            String zone,
            JsonValue kind,
            double weight,
            double bootMillis) {}

    private static final String UID = "uid";
    private static final String STATE = "state";
    private static final String STATE_READY = "ready";
    private static final String STATE_DRAINING = "draining";
    private static final String STATE_GONE = "gone";
    private static final String ADDRESS = "endpoint";
    private static final String ZONE = "az";
    private static final String KIND = "model";
    private static final String WEIGHT = "capacity_hint";
    private static final String BOOT_MILLIS = "boot_ms";
    private static final double DEFAULT_WEIGHT = 1;

    /** Largest capacity, as a multiple of the usual capacity. */
    private static final double MAX_WEIGHT = 1e6;

    /** Latest start time, far in the future. */
    private static final double MAX_BOOT_MILLIS = 1e15;

    private static final double BOOT_LONG_PAST = 0;

    /**
     * Reads an entry; returns nothing if the entry is malformed.
     *
     * @param zones names of the site's zones
     */
    static Optional<EndpointEntry> parse(JsonValue item, List<String> zones) {
        if (!item.isObject()) {
            return Optional.empty();
        }
        JsonObject fields = item.asObject();
        if (!isText(fields.get(UID)) || !isText(fields.get(STATE))) {
            return Optional.empty();
        }
        String uid = fields.get(UID).asString();
        Optional<EndpointState> state = parseState(fields.get(STATE).asString());
        if (uid.isEmpty() || state.isEmpty()) {
            return Optional.empty();
        }
        if (!hasUsableAttributes(fields, zones)) {
            return state.get() == EndpointState.GONE
                    ? Optional.of(new EndpointEntry(uid, EndpointState.GONE, Optional.empty()))
                    : Optional.empty();
        }
        try {
            Optional<Attributes> attributes = Optional.of(parseAttributes(fields));
            return Optional.of(new EndpointEntry(uid, state.get(), attributes));
        } catch (MalformedInputException e) { // the address is invalid
            return Optional.empty();
        }
    }

    private static Optional<EndpointState> parseState(String wireName) {
        return switch (wireName) {
            case STATE_READY -> Optional.of(EndpointState.AVAILABLE);
            case STATE_DRAINING -> Optional.of(EndpointState.DRAINING);
            case STATE_GONE -> Optional.of(EndpointState.GONE);
            default -> Optional.empty();
        };
    }

    private static boolean hasUsableAttributes(JsonObject fields, List<String> zones) {
        JsonValue zone = fields.get(ZONE);
        return isText(fields.get(ADDRESS))
                && isText(zone)
                && zones.contains(zone.asString())
                && isAbsentOrInRange(fields.get(BOOT_MILLIS), MAX_BOOT_MILLIS)
                && isAbsentOrInRange(fields.get(WEIGHT), MAX_WEIGHT);
    }

    private static Attributes parseAttributes(JsonObject fields) {
        return new Attributes(
                NumericAddress.parse(fields.get(ADDRESS).asString(), ADDRESS),
                fields.get(ZONE).asString(),
                fields.get(KIND),
                numberOr(fields.get(WEIGHT), DEFAULT_WEIGHT),
                numberOr(fields.get(BOOT_MILLIS), BOOT_LONG_PAST));
    }

    private static boolean isText(JsonValue value) {
        return value != null && value.isString();
    }

    private static boolean isAbsentOrInRange(JsonValue value, double max) {
        return value == null
                || value.isNumber() && value.asDouble() >= 0 && value.asDouble() <= max;
    }

    private static double numberOr(JsonValue value, double defaultNumber) {
        return value == null ? defaultNumber : value.asDouble();
    }
}
