package sprucelanding.runtime.server;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import sprucelanding.control.settings.MalformedInputException;

/**
 * The fields of one message from a client. The methods throw a {@link MalformedInputException} that
 * names the field if the field is absent, of the wrong type or out of range.
 */
final class MessageFields {
    /** The field that holds a message's type, in both directions. */
    static final String TYPE = "msg";

    private static final String ZONE = "az";
    private static final String WINDOW = "window";

    /**
     * Upper bound of all numbers, which are requests, attempts or ms. No measured value comes near
     * it.
     */
    private static final double MAX_NUMBER = 1e7;

    /** Shortest time window of a report. Proxies and collectors report about once a second. */
    private static final double MIN_WINDOW_MS = 1;

    /** Maximum number of characters that an error message quotes from a peer's text. */
    private static final int MAX_EXCERPT_LENGTH = 60;

    private final JsonObject json;

    private MessageFields(JsonObject json) {
        this.json = json;
    }

    /**
     * Parses a line.
     *
     * @throws MalformedInputException if the line is not a JSON object or is nested too deeply
     */
    static MessageFields parse(String line) {
        try {
            return new MessageFields(Json.parse(line).asObject());
        } catch (ParseException | UnsupportedOperationException | StackOverflowError e) {
            throw new MalformedInputException("a line is not a JSON object");
        }
    }

    ClientMessageType type() {
        return ClientMessageType.of(text(TYPE));
    }

    String text(String field) {
        JsonValue value = json.get(field);
        if (value == null || !value.isString()) {
            throw new MalformedInputException(field + " is absent or not a string");
        }
        return value.asString();
    }

    boolean flag(String field) {
        JsonValue value = json.get(field);
        if (value == null || !value.isBoolean()) {
            throw new MalformedInputException(field + " is absent or not a boolean");
        }
        return value.asBoolean();
    }

    double number(String field) {
        JsonValue value = json.get(field);
        // NaN stands for a field that is absent or of another type
        double number = value != null && value.isNumber() ? value.asDouble() : Double.NaN;
        if (!(number >= 0) || number > MAX_NUMBER) {
            throw new MalformedInputException(
                    field + " is not a number from 0 to " + (long) MAX_NUMBER + ": " + number);
        }
        return number;
    }

    /** Returns a whole number from 0 to {@code max}. */
    int integer(String field, int max) {
        double number = number(field);
        if (number != Math.rint(number) || number > max) {
            throw new MalformedInputException(
                    field + " is " + number + ", not a whole number from 0 to " + max);
        }
        return (int) number;
    }

    /** Returns the length of the time window that a report covers, in ms. */
    double windowMillis() {
        double windowMillis = number(WINDOW);
        if (windowMillis < MIN_WINDOW_MS) {
            throw new MalformedInputException(
                    WINDOW + " is " + windowMillis + " ms, expected at least " + MIN_WINDOW_MS);
        }
        return windowMillis;
    }

    /** Returns the number of the zone that the message names. */
    int zoneIndex(SiteNames site) {
        int zoneIndex = site.zoneIndex(text(ZONE));
        if (zoneIndex < 0) {
            throw new MalformedInputException(
                    ZONE + " names no zone of the site: " + excerpt(text(ZONE)));
        }
        return zoneIndex;
    }

    /** Returns a field as received; null if the field is absent. */
    JsonValue value(String field) {
        return json.get(field);
    }

    /** Returns the start of a text from a peer, short enough for an error message. */
    static String excerpt(String text) {
        return text.substring(0, Math.min(text.length(), MAX_EXCERPT_LENGTH));
    }
}
