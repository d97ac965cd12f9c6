package sprucelanding.runtime.server;

import java.net.InetSocketAddress;
import sprucelanding.control.settings.MalformedInputException;

/** A parser of addresses {@code HOST:PORT} with a numeric IPv4 host. No host name is resolved. */
final class NumericAddress {
    private static final int MAX_PORT = 65_535;

    /** Maximum number of characters that an error message quotes from a text. */
    private static final int MAX_QUOTED_LENGTH = 60;

    private NumericAddress() {}

    /**
     * Parses an address.
     *
     * @param field the field that holds the address, for the error message
     * @throws MalformedInputException if the text is not such an address; the message names the
     *     field
     */
    static InetSocketAddress parse(String text, String field) {
        int colon = text.lastIndexOf(':');
        String host = colon < 1 ? "" : text.substring(0, colon);
        int port = parsePort(text.substring(colon + 1));
        if (isNumeric(host) && port > 0 && port <= MAX_PORT) {
            InetSocketAddress parsed = new InetSocketAddress(host, port);
            if (!parsed.isUnresolved()) {
                return parsed;
            }
        }
        throw new MalformedInputException(
                field
                        + ": not a numeric IPv4 address HOST:PORT: "
                        + text.substring(0, Math.min(text.length(), MAX_QUOTED_LENGTH)));
    }

    /** Returns the port; 0, which is not a valid port, if the text is not a number. */
    private static int parsePort(String text) {
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    private static boolean isNumeric(String host) {
        for (int i = 0; i < host.length(); i++) {
            char character = host.charAt(i);
            if ((character < '0' || character > '9') && character != '.') {
                return false;
            }
        }
        return !host.isEmpty();
    }
}
