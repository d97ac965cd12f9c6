package sprucelanding.control.core;

import sprucelanding.control.loadreport.LoadReportSink;

/**
 * Receiver of aggregated load reports. It passes all of them to the controller, and the endpoint
 * statistics to the host as well.
 */
record LoadReportHandler(GovernorHost host, ControllerInput input) implements LoadReportSink {
    @Override
    public void endpointStatsReported(
            long endpointId, int attempts, int failed, double responseMillis, double load) {
        input.endpointStatsReported(endpointId, attempts, failed, responseMillis, load);
        host.endpointStatsReported(endpointId, attempts, failed, responseMillis, load);
    }

    @Override
    public void demandReported(int proxyId, int requestClass, int requestCount, double spanMillis) {
        input.demandReported(proxyId, requestClass, requestCount, spanMillis);
    }

    @Override
    public void log(String event, Object... fields) {
        host.log(event, fields);
    }
}
