package sprucelanding.simulation.loopback;

import java.time.Instant;
import java.util.List;

/** The builders of the NETCONF messages that a device sends (RFC 6241, RFC 5277). */
final class NetconfMessages {
    static final String OK = "<ok/>";

    private static final String BASE_NAMESPACE = "urn:ietf:params:xml:ns:netconf:base:1.0";
    private static final String CAPABILITY_PREFIX = "<capability>urn:ietf:params:netconf:";
    private static final List<String> CAPABILITIES =
            List.of(
                    "base:1.0",
                    "base:1.1",
                    "capability:candidate:1.0",
                    "capability:confirmed-commit:1.1",
                    "capability:validate:1.1",
                    "capability:rollback-on-error:1.0",
                    "capability:notification:1.0",
                    "capability:interleave:1.0");

    /** The content of the notification of a change of the configuration (RFC 6470). */
    static final String CONFIG_CHANGE =
            "<netconf-config-change"
                    + " xmlns=\"urn:ietf:params:xml:ns:yang:ietf-netconf-notifications\"/>";

    private NetconfMessages() {}

    static String hello() {
        StringBuilder text =
                new StringBuilder("<hello xmlns=\"")
                        .append(BASE_NAMESPACE)
                        .append("\"><capabilities>");
        for (String capability : CAPABILITIES) {
            text.append(CAPABILITY_PREFIX).append(capability).append("</capability>");
        }
        return text.append("<capability>urn:sprucelanding:proxy?module=sprucelanding-proxy")
                .append("</capability></capabilities><session-id>1</session-id></hello>")
                .toString();
    }

    static String reply(String messageId, String content) {
        return "<rpc-reply message-id=\""
                + messageId
                + "\" xmlns=\""
                + BASE_NAMESPACE
                + "\">"
                + content
                + "</rpc-reply>";
    }

    static String error(String tag, String message) {
        return error(tag, "", message);
    }

    /** Returns an error that names one table entry by its path. */
    static String entryError(String tag, int table, long endpointId, String message) {
        return error(
                tag,
                "<error-path>/routing/table[number='"
                        + table
                        + "']/line[replica='"
                        + endpointId
                        + "']</error-path>",
                message);
    }

    private static String error(String tag, String path, String message) {
        return "<rpc-error><error-type>application</error-type><error-tag>"
                + tag
                + "</error-tag><error-severity>error</error-severity>"
                + path
                + "<error-message>"
                + message
                + "</error-message></rpc-error>";
    }

    static String notification(String content) {
        return "<notification xmlns=\"urn:ietf:params:xml:ns:netconf:notification:1.0\"><eventTime>"
                + Instant.now()
                + "</eventTime>"
                + content
                + "</notification>";
    }
}
