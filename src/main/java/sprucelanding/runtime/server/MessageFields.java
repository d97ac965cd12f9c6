package sprucelanding.runtime.server;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import sprucelanding.control.settings.MalformedInputException;

/**
 * The fields of one message of a client. A field that is absent, of another type or out of range is
 * a {@link MalformedInputException} that names it.
 */
final class MessageFields {
    /** The field that names a message's type, in both directions. */
    static final String TYPE = "msg";

    private static final String ZONE = "az";
    private static final String WINDOW = "window";

    /** Requests, or ms: nothing that is measured comes near. */
    private static final double MAX_NUMBER = 1e7;

    private final JsonObject json;

    private MessageFields(JsonObject json) {
        this.json = json;
    }

    /**
     * Parses a line.
     *
     * @throws MalformedInputException if it is no JSON object, or nested too deeply
     */
    static MessageFields parse(String line) {
        try {
            return new MessageFields(Json.parse(line).asObject());
        } catch (ParseException | UnsupportedOperationException | StackOverflowError e) {
            throw new MalformedInputException("no JSON object");
        }
    }

    ClientMessageType type() {
        return ClientMessageType.of(text(TYPE));
    }

    String text(String field) {
        JsonValue value = json.get(field);
        if (value == null || !value.isString()) {
            throw new MalformedInputException(field + " is no text");
        }
        return value.asString();
    }

    boolean flag(String field) {
        JsonValue value = json.get(field);
        if (value == null || !value.isBoolean()) {
            throw new MalformedInputException(field + " is neither true nor false");
        }
        return value.asBoolean();
    }

    double number(String field) {
        JsonValue value = json.get(field);
        double number = value != null && value.isNumber() ? value.asDouble() : Double.NaN;
        if (!(number >= 0) || number > MAX_NUMBER) {
            throw new MalformedInputException(
                    field + " is no number from 0 to " + (long) MAX_NUMBER);
        }
        return number;
    }

    /** A whole number from 0 to that. */
    int integer(String field, int max) {
        double number = number(field);
        if (number != Math.rint(number) || number > max) {
            throw new MalformedInputException(field + " is out of range");
        }
        return (int) number;
    }

    /** The ms that a report is about; more than 0. */
    double windowMillis() {
        double windowMillis = number(WINDOW);
        if (windowMillis <= 0) {
            throw new MalformedInputException(WINDOW + " is no span");
        }
        return windowMillis;
    }

    /** The number of the zone that the message names. */
    int zoneIndex(ControllerHost host) {
        int zoneIndex = host.zoneIndex(text(ZONE));
        if (zoneIndex < 0) {
            throw new MalformedInputException(ZONE + " names no zone");
        }
        return zoneIndex;
    }

    /** A field as it is; null if it is absent. */
    JsonValue value(String field) {
        return json.get(field);
    }
}
