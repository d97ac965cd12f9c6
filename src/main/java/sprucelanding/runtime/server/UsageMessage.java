package sprucelanding.runtime.server;

import java.util.OptionalInt;
import sprucelanding.control.settings.MalformedInputException;

/**
 * {@code usage}: demand at a proxy, told by itself or by its zone's collector.
 *
 * @param proxyId its number
 * @param classIndex number of the request class
 * @param requestCount requests that came within the window
 * @param windowMillis ms that the report is about
 */
record UsageMessage(int proxyId, int classIndex, int requestCount, double windowMillis) {
    private static final String REQUEST_CLASS = "kind";
    private static final String REQUESTS = "n";
    private static final String FAILED_REQUESTS = "bad";

    /**
     * Parses a report.
     *
     * @param onlyProxyId the only proxy that it may be about, if it comes from that proxy
     */
    static UsageMessage parse(
            MessageFields fields, ControllerHost host, int proxyCount, OptionalInt onlyProxyId) {
        int proxyId = fields.integer(JoinMessage.PROXY, proxyCount - 1);
        int classIndex = host.requestClassIndex(fields.text(REQUEST_CLASS));
        if (classIndex < 0 || onlyProxyId.isPresent() && onlyProxyId.getAsInt() != proxyId) {
            throw new MalformedInputException("kind or sidecar names what does not exist");
        }
        int requestCount = fields.integer(REQUESTS, Integer.MAX_VALUE);
        // may be more than came: requests of the window before fail in this one
        fields.integer(FAILED_REQUESTS, Integer.MAX_VALUE);
        return new UsageMessage(proxyId, classIndex, requestCount, fields.windowMillis());
    }
}
