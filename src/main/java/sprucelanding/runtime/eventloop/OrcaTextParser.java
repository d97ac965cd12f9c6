package sprucelanding.runtime.eventloop;

/**
 * Parses the text form of ORCA load reports (Open Request Cost Aggregation): metrics by name, as in
 * "TEXT a=1, b=0.5".
 */
public final class OrcaTextParser {
    private static final String FORMAT_PREFIX = "TEXT ";

    private OrcaTextParser() {}

    /**
     * Finds a metric.
     *
     * @param max the greatest value that is valid; the least is 0
     * @return NaN if the report holds no such metric or its value is not valid
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
