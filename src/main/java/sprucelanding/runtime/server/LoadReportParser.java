package sprucelanding.runtime.server;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.nio.charset.StandardCharsets;
import sprucelanding.control.settings.MalformedInputException;
import sprucelanding.runtime.eventloop.OrcaTextParser;

/**
 * A parser of endpoints' load reports. A report is in ORCA's text format in the response to a
 * health check, and a JSON object in a collector's message.
 */
final class LoadReportParser {
    /** Upper bound of the reported busy share of CPU. Reports are noisy, but not by this much. */
    private static final double MAX_LOAD = 2;

    private static final double UNKNOWN_LOAD = Double.NaN;

    private final String loadField;

    /**
     * Creates a parser.
     *
     * @param loadField the name of the busy share of CPU in the site's reports
     */
    LoadReportParser(String loadField) {
        this.loadField = loadField;
    }

    /** Returns the busy share of CPU from a response's body; NaN if the body does not hold it. */
    double load(byte[] body) {
        return OrcaTextParser.metric(
                new String(body, StandardCharsets.ISO_8859_1).trim(), loadField, MAX_LOAD);
    }

    /**
     * Returns the busy share of CPU from a report object; NaN if there is no report or the report
     * does not hold the share.
     *
     * @param report the report, or null
     * @throws MalformedInputException if the report is not an object or one of its members is not a
     *     valid number
     */
    double load(JsonValue report) {
        if (report == null || report.isNull()) {
            return UNKNOWN_LOAD;
        }
        if (!report.isObject()) {
            throw new MalformedInputException("report is not an object");
        }
        for (JsonObject.Member member : report.asObject()) {
            if (!isValidMember(member)) {
                throw new MalformedInputException(
                        "report holds an invalid value in "
                                + MessageFields.excerpt(member.getName()));
            }
        }
        JsonValue load = report.asObject().get(loadField);
        return load == null ? UNKNOWN_LOAD : load.asDouble();
    }

    private boolean isValidMember(JsonObject.Member member) {
        if (!member.getValue().isNumber()) {
            return false;
        }
        double value = member.getValue().asDouble();
        return value >= 0
                && !Double.isInfinite(value)
                && (value <= MAX_LOAD || !member.getName().equals(loadField));
    }
}
