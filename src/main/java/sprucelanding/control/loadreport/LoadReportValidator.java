package sprucelanding.control.loadreport;

import java.util.Optional;

/** A validator that finds load reports with impossible values. */
final class LoadReportValidator {
    /**
     * Greatest plausible number of attempts of one proxy at one endpoint in a second, and of its
     * requests of one class.
     */
    private static final double MAX_ATTEMPTS_PER_SECOND = 100_000;

    /** Greatest plausible mean of the loads that responses reported. */
    private static final double MAX_LOAD_PER_SAMPLE = 1.5;

    /** Shortest time span of a report; proxies report about once a second. */
    private static final double MIN_SPAN_MILLIS = 1;

    private static final double MILLIS_PER_HOUR = 3_600_000;

    private final int requestClassCount;

    LoadReportValidator(int requestClassCount) {
        this.requestClassCount = requestClassCount;
    }

    /** Returns why a report is invalid; empty if the report is valid. */
    Optional<String> problem(LoadReport report) {
        if (!(report.spanMillis() >= MIN_SPAN_MILLIS) || report.spanMillis() > MILLIS_PER_HOUR) {
            return Optional.of(
                    "spanMillis: expected a value from "
                            + MIN_SPAN_MILLIS
                            + " to "
                            + MILLIS_PER_HOUR
                            + ", found "
                            + report.spanMillis());
        }
        double maxCount = MAX_ATTEMPTS_PER_SECOND * Math.max(1, report.spanMillis() / 1000);
        if (report.requestsByClass().size() > requestClassCount) {
            return Optional.of(
                    "requestsByClass: expected at most "
                            + requestClassCount
                            + " request classes, found "
                            + report.requestsByClass().size());
        }
        for (long count : report.requestsByClass()) {
            if (count < 0 || count > maxCount) {
                return Optional.of(
                        "requestsByClass: expected counts from 0 to "
                                + maxCount
                                + ", found "
                                + count);
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
                    "endpointStats: expected 0 to "
                            + maxCount
                            + " issued, completed and failed attempts and at least 0 load samples,"
                            + " found "
                            + stats.issued()
                            + ", "
                            + stats.completed()
                            + ", "
                            + stats.failed()
                            + " and "
                            + stats.loadSamples());
        }
        if (!(stats.totalResponseMillis() >= 0)
                || stats.totalResponseMillis() > stats.completed() * MILLIS_PER_HOUR) {
            return Optional.of(
                    "totalResponseMillis: expected 0 to "
                            + stats.completed() * MILLIS_PER_HOUR
                            + ", found "
                            + stats.totalResponseMillis());
        }
        if (!(stats.loadSum() >= 0)
                || stats.loadSum() > MAX_LOAD_PER_SAMPLE * stats.loadSamples()) {
            return Optional.of(
                    "loadSum: expected 0 to "
                            + MAX_LOAD_PER_SAMPLE * stats.loadSamples()
                            + ", found "
                            + stats.loadSum());
        }
        return Optional.empty();
    }
}
