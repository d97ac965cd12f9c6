package sprucelanding.platform;

import com.eclipsesource.json.JsonValue;
import java.nio.charset.StandardCharsets;

/** A replica's load report, as text after a probe and as an object among what proxies met. */
final class Report {
    private final String name;

    /** Name: what the site calls the share of its CPU that is busy. */
    Report(String name) {
        this.name = name;
    }

    /** The share of its CPU that is busy; NaN if the text tells none. */
    double load(byte[] body) {
        String text = new String(body, StandardCharsets.ISO_8859_1).trim();
        for (String each : (text.startsWith("TEXT ") ? text.substring(5) : "").split(",")) {
            String[] pair = each.trim().split("=", 2);
            if (pair.length == 2 && pair[0].trim().equals(name)) {
                try {
                    return share(Double.parseDouble(pair[1].trim()));
                } catch (NumberFormatException e) {
                    return Double.NaN;
                }
            }
        }
        return Double.NaN;
    }

    /** The same of an object; NaN if there is none. */
    double load(JsonValue report) {
        JsonValue load = report != null && report.isObject() ? report.asObject().get(name) : null;
        return load != null && load.isNumber() ? share(load.asDouble()) : Double.NaN;
    }

    private static double share(double load) {
        return load >= 0 && Double.isFinite(load) ? load : Double.NaN;
    }
}
