package sprucelanding.cli;

import java.net.InetSocketAddress;
import java.util.OptionalInt;

/** Reads addresses of the form host:port. */
final class SocketAddresses {
    private static final int MAX_PORT = 65_535;

    private SocketAddresses() {}

    /**
     * Parses an address and resolves its host.
     *
     * @param text host:port; the port is what follows the last colon
     * @param field where the text was given, for the message
     * @throws IllegalArgumentException with the field's name if the text is no host:port
     */
    static InetSocketAddress parse(String text, String field) {
        int colon = text.lastIndexOf(':');
        OptionalInt port = parsePort(text.substring(colon + 1));
        if (colon <= 0 || port.isEmpty()) {
            throw new IllegalArgumentException(field + ": \"" + text + "\" is no host:port");
        }
        return new InetSocketAddress(text.substring(0, colon), port.getAsInt());
    }

    private static OptionalInt parsePort(String text) {
        try {
            int port = Integer.parseInt(text);
            return port >= 0 && port <= MAX_PORT ? OptionalInt.of(port) : OptionalInt.empty();
        } catch (NumberFormatException e) {
            return OptionalInt.empty();
        }
    }
}
