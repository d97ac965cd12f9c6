package sprucelanding.runtime.server;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.nio.charset.StandardCharsets;
import sprucelanding.control.settings.MalformedInputException;
import sprucelanding.runtime.eventloop.OrcaTextParser;

/** A replica's load report, as text after a probe and as an object among what proxies met. */
final class LoadReportParser {
    private static final double MAX_LOAD = 2; // reports are noisy, but not as much

    private final String loadField;

    /** Name: what the site calls the share of its CPU that is busy. */
    LoadReportParser(String loadField) {
        this.loadField = loadField;
    }

    /** The share of its CPU that is busy; NaN if the text tells none. */
    double load(byte[] body) {
        return OrcaTextParser.metric(
                new String(body, StandardCharsets.ISO_8859_1).trim(), loadField, MAX_LOAD);
    }

    /**
     * The same of an object; NaN if there is none. Throws Malformed if a figure in it cannot be.
     */
    double load(JsonValue report) {
        if (report == null || report.isNull()) {
            return Double.NaN;
        }
        if (!report.isObject()) {
            throw new MalformedInputException("report is no object");
        }
        for (JsonObject.Member member : report.asObject()) {
            double value = member.getValue().isNumber() ? member.getValue().asDouble() : Double.NaN;
            if (!(value >= 0)
                    || Double.isInfinite(value)
                    || member.getName().equals(loadField) && value > MAX_LOAD) {
                throw new MalformedInputException("report holds no such " + member.getName());
            }
        }
        JsonValue load = report.asObject().get(loadField);
        return load == null ? Double.NaN : load.asDouble();
    }
}
