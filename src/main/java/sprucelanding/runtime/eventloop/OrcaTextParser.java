package sprucelanding.runtime.eventloop;

/** The text form of an ORCA load report: names and figures, as in "TEXT a=1, b=0.5". */
public final class OrcaTextParser {
    private OrcaTextParser() {}

    /** The figure of that name; NaN if the text tells none, or one below 0 or above the most. */
    public static double metric(String report, String name, double max) {
        String body = report.startsWith("TEXT ") ? report.substring(5) : "";
        for (String item : body.split(",")) {
            String[] pair = item.trim().split("=", 2);
            if (pair.length == 2 && pair[0].equals(name)) {
                try {
                    double value = Double.parseDouble(pair[1]);
                    return value >= 0 && value <= max ? value : Double.NaN;
                } catch (NumberFormatException e) {
                    return Double.NaN;
                }
            }
        }
        return Double.NaN;
    }
}
