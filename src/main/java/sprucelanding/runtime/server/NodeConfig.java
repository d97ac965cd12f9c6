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
import sprucelanding.control.settings.MalformedInputException;
import sprucelanding.control.settings.SettingsReader;

/**
 * What a governor is told when it is posted: its place, its limits, the list as last held, and what
 * the site states.
 */
final class NodeConfig {
    private final JsonObject root;

    private NodeConfig(JsonObject root) {
        this.root = root;
    }

    /** Throws Malformed, which names the field, or IOException. */
    static NodeConfig read(Path configFile) throws IOException {
        try {
            return new NodeConfig(
                    Json.parse(Files.readString(configFile, StandardCharsets.UTF_8)).asObject());
        } catch (ParseException | UnsupportedOperationException e) {
            throw new MalformedInputException("no JSON object: " + e.getMessage());
        }
    }

    String name() {
        return root.getString("name", "governor");
    }

    InetSocketAddress listenAddress() {
        return parseAddress("listen");
    }

    InetSocketAddress discoveryAddress() {
        return parseAddress("discovery");
    }

    /** For random numbers: hexadecimal digits, or any text. */
    long seed() {
        JsonValue seed = root.get("seed");
        if (seed == null) {
            return 1;
        }
        String text = seed.isString() ? seed.asString() : seed.toString();
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            return text.hashCode();
        }
    }

    /** Descriptors that this process may hold. */
    int maxDescriptors() {
        JsonValue limits = root.get("limits");
        JsonValue sockets =
                limits != null && limits.isObject() ? limits.asObject().get("sockets") : null;
        return sockets != null && sockets.isNumber() ? (int) sockets.asDouble() : 1024;
    }

    /** The list as this governor last had it, or null. */
    JsonObject lastKnownList() {
        JsonValue known = root.get("known");
        return known != null && known.isObject() ? known.asObject() : null;
    }

    SettingsReader settings() {
        JsonValue settings = root.get("settings");
        if (settings == null || !settings.isObject()) {
            throw new MalformedInputException("settings: not given");
        }
        return new SettingsReader(settings.asObject());
    }

    private InetSocketAddress parseAddress(String field) {
        JsonValue value = root.get(field);
        InetSocketAddress parsed =
                value != null && value.isString() ? parseAddress(value.asString(), field) : null;
        if (parsed == null) {
            throw new MalformedInputException(field + ": no address");
        }
        return parsed;
    }

    /** HOST:PORT with a numeric host; throws Malformed naming the field. */
    static InetSocketAddress parseAddress(String text, String field) {
        int colon = text.lastIndexOf(':');
        String host = colon < 1 ? "" : text.substring(0, colon);
        boolean numeric =
                !host.isEmpty()
                        && host.chars()
                                .allMatch(
                                        character ->
                                                character >= '0' && character <= '9'
                                                        || character == '.');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (numeric && port > 0 && port < 65_536) {
                InetSocketAddress parsed = new InetSocketAddress(host, port);
                if (!parsed.isUnresolved()) {
                    return parsed;
                }
            }
        } catch (NumberFormatException e) {
            // said below
        }
        throw new MalformedInputException(
                field + ": no address: " + (text.length() > 60 ? text.substring(0, 60) : text));
    }
}
