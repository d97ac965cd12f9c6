package sprucelanding.runtime.server;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import sprucelanding.control.settings.MalformedInputException;
import sprucelanding.control.settings.SettingsReader;

/**
 * The node configuration of one governor: its addresses and limits, its last known endpoint list
 * and the site's settings. The methods throw a {@link MalformedInputException} that names the field
 * if a required field is absent or invalid.
 */
final class NodeConfig {
    private static final String NAME = "name";
    private static final String LISTEN = "listen";
    private static final String DISCOVERY = "discovery";
    private static final String SEED = "seed";
    private static final String LIMITS = "limits";
    private static final String LIMITS_DESCRIPTORS = "sockets";
    private static final String LAST_KNOWN_LIST = "known";
    private static final String SETTINGS = "settings";

    private static final String DEFAULT_NAME = "governor";
    private static final long DEFAULT_SEED = 1;
    private static final int DEFAULT_MAX_DESCRIPTORS = 1024;
    private static final int HEXADECIMAL = 16;

    private final JsonObject root;

    private NodeConfig(JsonObject root) {
        this.root = root;
    }

    /**
     * Reads a configuration file.
     *
     * @throws MalformedInputException if the file does not hold a JSON object
     * @throws IOException if the file cannot be read
     */
    static NodeConfig read(Path configFile) throws IOException {
        try {
            return new NodeConfig(
                    Json.parse(Files.readString(configFile, StandardCharsets.UTF_8)).asObject());
        } catch (ParseException | UnsupportedOperationException e) {
            throw new MalformedInputException("not a JSON object: " + e.getMessage());
        }
    }

    /** Returns the governor's name, which is used in the log. */
    String name() {
        return root.getString(NAME, DEFAULT_NAME);
    }

    /** Returns the address that proxies and collectors connect to. */
    InetSocketAddress listenAddress() {
        return address(LISTEN);
    }

    /** Returns the address of discovery. */
    InetSocketAddress discoveryAddress() {
        return address(DISCOVERY);
    }

    /**
     * Returns the seed of the controller's random numbers. The seed is configured as hexadecimal
     * digits; of any other text, the hash code is the seed.
     */
    long seed() {
        JsonValue seed = root.get(SEED);
        if (seed == null) {
            return DEFAULT_SEED;
        }
        String text = seed.isString() ? seed.asString() : seed.toString();
        try {
            return Long.parseUnsignedLong(text, HEXADECIMAL);
        } catch (NumberFormatException e) {
            return text.hashCode();
        }
    }

    /** Returns the number of descriptors that this process may hold. */
    int maxDescriptors() {
        JsonValue limits = root.get(LIMITS);
        JsonValue descriptors =
                limits != null && limits.isObject()
                        ? limits.asObject().get(LIMITS_DESCRIPTORS)
                        : null;
        return descriptors != null && descriptors.isNumber()
                ? (int) descriptors.asDouble()
                : DEFAULT_MAX_DESCRIPTORS;
    }

    /** Returns the last endpoint list of an earlier run of this governor. */
    Optional<JsonObject> lastKnownList() {
        return object(LAST_KNOWN_LIST);
    }

    /** Returns the site's settings. */
    SettingsReader settings() {
        return new SettingsReader(
                object(SETTINGS)
                        .orElseThrow(
                                () ->
                                        new MalformedInputException(
                                                SETTINGS + ": absent or not an object")));
    }

    private Optional<JsonObject> object(String field) {
        JsonValue value = root.get(field);
        return value != null && value.isObject() ? Optional.of(value.asObject()) : Optional.empty();
    }

    private InetSocketAddress address(String field) {
        JsonValue value = root.get(field);
        if (value == null || !value.isString()) {
            throw new MalformedInputException(
                    field + ": absent or not a string of the form HOST:PORT");
        }
        return NumericAddress.parse(value.asString(), field);
    }
}
