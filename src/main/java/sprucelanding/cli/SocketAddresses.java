package sprucelanding.cli;

import java.net.InetSocketAddress;
import java.util.OptionalInt;

/** Parser of addresses of the form host:port. */
final class SocketAddresses {
    private static final int MAX_PORT = 65_535;

    private SocketAddresses() {}

    /**
     * Parses an address and resolves its host.
     *
     * @param text host:port; the port follows the last colon
     * @param field name of the field or option that holds the text, for the message
     * @throws IllegalArgumentException if the text is not host:port; the message names the field
     */
    static InetSocketAddress parse(String text, String field) {
        int colon = text.lastIndexOf(':');
        OptionalInt port = parsePort(text.substring(colon + 1));
        if (colon <= 0 || port.isEmpty()) {
            throw new IllegalArgumentException(
                    field + ": \"" + text + "\" is not of the form host:port");
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
