package sprucelanding.runtime.eventloop;

/**
 * A parser of the text form of ORCA load reports (Open Request Cost Aggregation). The text form
 * lists metrics by name, for example "TEXT a=1, b=0.5".
 */
public final class OrcaTextParser {
    private static final String FORMAT_PREFIX = "TEXT ";

    private OrcaTextParser() {}

    /**
     * Returns the value of a metric.
     *
     * @param max greatest valid value; the least valid value is 0
     * @return the value; NaN if the report does not hold the metric or the value is invalid
     */
    public static double metric(String report, String name, double max) {
        String body =
                report.startsWith(FORMAT_PREFIX) ? report.substring(FORMAT_PREFIX.length()) : "";
        for (String item : body.split(",")) {
            String[] pair = item.trim().split("=", 2);
            if (pair.length == 2 && pair[0].equals(name)) {
                return validValue(pair[1], max);
            }
        }
        return Double.NaN;
    }

    private static double validValue(String text, double max) {
        try {
            double value = Double.parseDouble(text);
            return value >= 0 && value <= max ? value : Double.NaN;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
