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
 * The configuration of one governor: its addresses and limits, the endpoint list as it last had it,
 * and the site's settings. A field that is needed and cannot be used is a {@link
 * MalformedInputException} that names it.
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
     * @throws MalformedInputException if it holds no JSON object
     * @throws IOException if it cannot be read
     */
    static NodeConfig read(Path configFile) throws IOException {
        try {
            return new NodeConfig(
                    Json.parse(Files.readString(configFile, StandardCharsets.UTF_8)).asObject());
        } catch (ParseException | UnsupportedOperationException e) {
            throw new MalformedInputException("no JSON object: " + e.getMessage());
        }
    }

    /** The governor's name, for the log. */
    String name() {
        return root.getString(NAME, DEFAULT_NAME);
    }

    /** Where proxies and collectors connect. */
    InetSocketAddress listenAddress() {
        return address(LISTEN);
    }

    /** Where discovery is watched. */
    InetSocketAddress discoveryAddress() {
        return address(DISCOVERY);
    }

    /** The seed of the controller's random numbers: hexadecimal digits, or any other text. */
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

    /** Descriptors that this process may hold. */
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

    /** The endpoint list as this governor last had it. */
    Optional<JsonObject> lastKnownList() {
        return object(LAST_KNOWN_LIST);
    }

    /** The site's settings. */
    SettingsReader settings() {
        return new SettingsReader(
                object(SETTINGS)
                        .orElseThrow(() -> new MalformedInputException(SETTINGS + ": not given")));
    }

    private Optional<JsonObject> object(String field) {
        JsonValue value = root.get(field);
        return value != null && value.isObject() ? Optional.of(value.asObject()) : Optional.empty();
    }

    private InetSocketAddress address(String field) {
        JsonValue value = root.get(field);
        if (value == null || !value.isString()) {
            throw new MalformedInputException(field + ": no address");
        }
        return NumericAddress.parse(value.asString(), field);
    }
}
