package sprucelanding.control.loadreport;

import java.util.Optional;

/** Tells reports that cannot be true. */
final class LoadReportValidator {
    /** Attempts of one proxy at one endpoint in a second, or requests, beyond which is absurd. */
    private static final double MAX_ATTEMPTS_PER_SECOND = 100_000;

    /** The highest mean of the loads that responses reported. */
    private static final double MAX_LOAD_PER_SAMPLE = 1.5;

    private static final double MILLIS_PER_HOUR = 3_600_000;

    private final int requestClassCount;

    LoadReportValidator(int requestClassCount) {
        this.requestClassCount = requestClassCount;
    }

    /** Why the report cannot be true; empty if it can. */
    Optional<String> problem(LoadReport report) {
        if (!(report.spanMillis() > 0) || report.spanMillis() > MILLIS_PER_HOUR) {
            return Optional.of("it covers " + report.spanMillis() + " ms");
        }
        double maxCount = MAX_ATTEMPTS_PER_SECOND * Math.max(1, report.spanMillis() / 1000);
        if (report.requestsByClass().size() > requestClassCount) {
            return Optional.of("it names " + report.requestsByClass().size() + " products");
        }
        for (long count : report.requestsByClass()) {
            if (count < 0 || count > maxCount) {
                return Optional.of("it counts " + count + " txns");
            }
        }
        for (LoadReport.EndpointStats stats : report.endpointStats()) {
            Optional<String> problem = problem(stats, maxCount);
            if (problem.isPresent()) {
                return problem;
            }
        }
        return Optional.empty();
    }

    private static Optional<String> problem(LoadReport.EndpointStats stats, double maxCount) {
        if (stats.issued() < 0
                || stats.completed() < 0
                || stats.failed() < 0
                || stats.loadSamples() < 0
                || stats.issued() > maxCount
                || stats.completed() > maxCount
                || stats.failed() > maxCount) {
            return Optional.of(
                    "it counts "
                            + stats.issued()
                            + " tries, "
                            + stats.completed()
                            + " settled, "
                            + stats.failed()
                            + " voided");
        }
        if (!(stats.totalResponseMillis() >= 0)
                || stats.totalResponseMillis() > stats.completed() * MILLIS_PER_HOUR) {
            return Optional.of("its answers took " + stats.totalResponseMillis() + " ms");
        }
        if (!(stats.loadSum() >= 0)
                || stats.loadSum() > MAX_LOAD_PER_SAMPLE * stats.loadSamples()) {
            return Optional.of(
                    "its loads sum up to " + stats.loadSum() + " over " + stats.loadSamples());
        }
        return Optional.empty();
    }
}
