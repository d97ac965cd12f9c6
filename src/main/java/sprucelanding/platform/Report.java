package sprucelanding.platform;

import com.eclipsesource.json.JsonValue;
import java.nio.charset.StandardCharsets;

/** A replica's load report, as text after a probe and as an object among what proxies met. */
final class Report {
    private static final String UTIL = "util";

    private Report() {
    }

    /** Share of its CPU that is busy; NaN if the text tells none. */
    static double util(byte[] body) {
        String text = new String(body, StandardCharsets.ISO_8859_1).trim();
        for (String each : (text.startsWith("TEXT ") ? text.substring(5) : "").split(",")) {
            String[] pair = each.trim().split("=", 2);
            if (pair.length == 2 && pair[0].trim().equals(UTIL)) {
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
    static double util(JsonValue report) {
        JsonValue util = report != null && report.isObject() ? report.asObject().get(UTIL) : null;
        return util != null && util.isNumber() ? share(util.asDouble()) : Double.NaN;
    }

    private static double share(double util) {
        return util >= 0 && Double.isFinite(util) ? util : Double.NaN;
    }
}
