package sprucelanding.runtime.server;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.nio.charset.StandardCharsets;
import sprucelanding.control.settings.MalformedInputException;
import sprucelanding.runtime.eventloop.OrcaTextParser;

/**
 * Reads the load reports of endpoints: ORCA's text format in the response to a health check, a JSON
 * object in a collector's report.
 */
final class LoadReportParser {
    /** Share of its CPU that a report may tell as busy: reports are noisy, but not as much. */
    private static final double MAX_LOAD = 2;

    private static final double UNKNOWN_LOAD = Double.NaN;

    private final String loadField;

    /**
     * Creates a parser.
     *
     * @param loadField what the site's reports call the share of CPU that is busy
     */
    LoadReportParser(String loadField) {
        this.loadField = loadField;
    }

    /** The share of CPU that is busy by a response's body; NaN if it does not tell. */
    double load(byte[] body) {
        return OrcaTextParser.metric(
                new String(body, StandardCharsets.ISO_8859_1).trim(), loadField, MAX_LOAD);
    }

    /**
     * The share of CPU that is busy by a report object; NaN if there is none or it does not tell.
     *
     * @param report may be null
     * @throws MalformedInputException if one of its numbers cannot be
     */
    double load(JsonValue report) {
        if (report == null || report.isNull()) {
            return UNKNOWN_LOAD;
        }
        if (!report.isObject()) {
            throw new MalformedInputException("report is no object");
        }
        for (JsonObject.Member member : report.asObject()) {
            if (!isPossible(member)) {
                throw new MalformedInputException("report holds no such " + member.getName());
            }
        }
        JsonValue load = report.asObject().get(loadField);
        return load == null ? UNKNOWN_LOAD : load.asDouble();
    }

    private boolean isPossible(JsonObject.Member member) {
        if (!member.getValue().isNumber()) {
            return false;
        }
        double value = member.getValue().asDouble();
        return value >= 0
                && !Double.isInfinite(value)
                && (value <= MAX_LOAD || !member.getName().equals(loadField));
    }
}
