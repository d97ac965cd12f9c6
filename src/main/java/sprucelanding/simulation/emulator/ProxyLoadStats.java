package sprucelanding.simulation.emulator;

import java.util.ArrayList;
import java.util.List;
import sprucelanding.control.loadreport.LoadReport;
import sprucelanding.simulation.model.EndpointStats;

/** Counters of a proxy for its next load report, by endpoint and by request class. */
final class ProxyLoadStats {
    private final List<EmulatedEndpoint> endpoints;

    /** Statistics by endpoint number; null if nothing has been counted since the last report. */
    private final EndpointStats[] statsByEndpoint;

    private final long[] arrivals;
    private double intervalStartedAt;

    ProxyLoadStats(List<EmulatedEndpoint> endpoints, int requestClassCount) {
        this.endpoints = endpoints;
        this.statsByEndpoint = new EndpointStats[endpoints.size()];
        this.arrivals = new long[requestClassCount];
    }

    void requestArrived(int requestClass) {
        arrivals[requestClass]++;
    }

    void attemptStarted(EmulatedEndpoint endpoint) {
        stats(endpoint).attemptStarted();
    }

    void attemptEnded(
            EmulatedEndpoint endpoint,
            boolean succeeded,
            double elapsedMillis,
            double utilization) {
        stats(endpoint).attemptEnded(succeeded, elapsedMillis, utilization);
    }

    private EndpointStats stats(EmulatedEndpoint endpoint) {
        EndpointStats stats = statsByEndpoint[endpoint.number];
        if (stats == null) {
            stats = new EndpointStats();
            statsByEndpoint[endpoint.number] = stats;
        }
        return stats;
    }

    /** Starts the interval of the next report. The counts so far are kept. */
    void startInterval(double now) {
        intervalStartedAt = now;
    }

    /** Returns a report of all counts, and resets the counts. */
    LoadReport takeReport(int proxy, double now) {
        List<LoadReport.EndpointStats> stats = new ArrayList<>();
        for (int i = 0; i < statsByEndpoint.length; i++) {
            EndpointStats observed = statsByEndpoint[i];
            if (observed != null && !observed.isEmpty()) {
                stats.add(
                        new LoadReport.EndpointStats(
                                endpoints.get(i).id,
                                observed.issued(),
                                observed.completed(),
                                observed.failed(),
                                observed.responseMillis(),
                                observed.utilizationSum(),
                                observed.utilizationReports()));
            }
            statsByEndpoint[i] = null;
        }
        List<Long> counts = new ArrayList<>();
        for (int requestClass = 0; requestClass < arrivals.length; requestClass++) {
            counts.add(arrivals[requestClass]);
            arrivals[requestClass] = 0;
        }
        LoadReport report = new LoadReport(proxy, now - intervalStartedAt, stats, counts);
        intervalStartedAt = now;
        return report;
    }
}
