package sprucelanding.runtime.server;

import com.eclipsesource.json.JsonValue;
import sprucelanding.control.settings.MalformedInputException;

/**
 * The message {@code heard}, by which a zone's collector reports the request statistics of the
 * zone's proxies for an endpoint.
 *
 * @param endpointUid discovery's name of the endpoint
 * @param attempts the number of attempts that the proxies made at the endpoint
 * @param failedAttempts the number of these attempts that failed
 * @param responseMillis the mean response time, ms
 * @param loadReport the endpoint's load report as received, to be read by {@link LoadReportParser};
 *     null if absent
 */
record EndpointStatsMessage(
        String endpointUid,
        int attempts,
        int failedAttempts,
        double responseMillis,
        JsonValue loadReport) {
    private static final String ENDPOINT = "host";
    private static final String ATTEMPTS = "n";
    private static final String FAILED_ATTEMPTS = "bad";
    private static final String RESPONSE_MILLIS = "avg";
    private static final String LOAD_REPORT = "report";

    static EndpointStatsMessage parse(MessageFields fields, SiteNames site) {
        fields.zoneIndex(site); // must name a zone of the site, but is not used
        String endpointUid = fields.text(ENDPOINT);
        if (!site.isKnownEndpoint(endpointUid)) {
            throw new MalformedInputException(
                    ENDPOINT + " names no known endpoint: " + MessageFields.excerpt(endpointUid));
        }
        int attempts = fields.integer(ATTEMPTS, Integer.MAX_VALUE);
        int failedAttempts = fields.integer(FAILED_ATTEMPTS, attempts);
        double responseMillis = fields.number(RESPONSE_MILLIS);
        fields.windowMillis(); // required by the protocol, but not used
        return new EndpointStatsMessage(
                endpointUid, attempts, failedAttempts, responseMillis, fields.value(LOAD_REPORT));
    }
}
