package sprucelanding.runtime.server;

import java.util.OptionalInt;
import sprucelanding.control.settings.MalformedInputException;

/**
 * The message {@code usage}, by which a proxy or its zone's collector reports the demand at the
 * proxy.
 *
 * @param proxyId the proxy's number
 * @param classIndex the number of the request class
 * @param requestCount the number of requests that arrived within the window
 * @param windowMillis the length of the window, ms
 */
record UsageMessage(int proxyId, int classIndex, int requestCount, double windowMillis) {
    private static final String REQUEST_CLASS = "kind";
    private static final String REQUESTS = "n";
    private static final String FAILED_REQUESTS = "bad";

    /**
     * Parses a report.
     *
     * @param onlyProxyId the sending proxy, which may report only on itself; empty for a collector
     */
    static UsageMessage parse(
            MessageFields fields, SiteNames site, int proxyCount, OptionalInt onlyProxyId) {
        int proxyId = fields.integer(JoinMessage.PROXY, proxyCount - 1);
        int classIndex = site.requestClassIndex(fields.text(REQUEST_CLASS));
        if (classIndex < 0 || onlyProxyId.isPresent() && onlyProxyId.getAsInt() != proxyId) {
            throw new MalformedInputException(
                    "kind names no request class ("
                            + MessageFields.excerpt(fields.text(REQUEST_CLASS))
                            + "), or sidecar ("
                            + proxyId
                            + ") is not the sender");
        }
        int requestCount = fields.integer(REQUESTS, Integer.MAX_VALUE);
        // may exceed requestCount: requests of the previous window can fail in this one
        fields.integer(FAILED_REQUESTS, Integer.MAX_VALUE);
        return new UsageMessage(proxyId, classIndex, requestCount, fields.windowMillis());
    }
}
