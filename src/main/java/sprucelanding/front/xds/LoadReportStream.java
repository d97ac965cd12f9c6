package sprucelanding.front.xds;

import com.google.protobuf.Duration;
import io.envoyproxy.envoy.config.core.v3.Node;
import io.envoyproxy.envoy.service.load_stats.v3.LoadStatsRequest;
import io.envoyproxy.envoy.service.load_stats.v3.LoadStatsResponse;
import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import sprucelanding.control.loadreport.LoadReport;
import sprucelanding.runtime.governor.ResourceNaming;

/**
 * A stream of load reports from one proxy. The first request identifies the proxy and is answered
 * with the report interval. The next request is read after the core has accepted the previous one.
 */
final class LoadReportStream implements StreamObserver<LoadStatsRequest> {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final long NANOS_PER_SECOND = 1_000_000_000;

    /** Also the id that the core returns if there are too many proxies. */
    private static final int UNIDENTIFIED = -1;

    private final XdsFront front;
    private final LoadReportParser parser;
    private final double reportIntervalMillis;
    private final ServerCallStreamObserver<LoadStatsResponse> responses;
    private boolean started;
    private int proxyId = UNIDENTIFIED;

    LoadReportStream(
            XdsFront front,
            ResourceNaming naming,
            double reportIntervalMillis,
            ServerCallStreamObserver<LoadStatsResponse> responses) {
        this.front = front;
        this.parser = new LoadReportParser(naming);
        this.reportIntervalMillis = reportIntervalMillis;
        this.responses = responses;
        responses.disableAutoRequest();
        responses.setOnReadyHandler(this::onReady);
    }

    private void onReady() {
        if (!started) {
            started = true;
            responses.request(1);
        }
    }

    @Override
    public void onNext(LoadStatsRequest request) {
        if (proxyId < 0) {
            proxyId = identify(request.getNode());
            if (proxyId < 0) {
                responses.onError(
                        Status.INVALID_ARGUMENT
                                .withDescription("node.id: expected a name")
                                .asRuntimeException());
                return;
            }
            responses.onNext(reportSettings());
        }
        if (request.getClusterStatsCount() > 0) {
            LoadReport report = parser.parse(proxyId, request);
            front.awaitAccepted(() -> front.core().loadReported(report));
        }
        responses.request(1);
    }

    private int identify(Node node) {
        return node.getId().isEmpty() ? UNIDENTIFIED : front.core().proxyId(node.getId());
    }

    private LoadStatsResponse reportSettings() {
        long nanos = (long) (reportIntervalMillis * NANOS_PER_MILLI);
        return LoadStatsResponse.newBuilder()
                .setSendAllClusters(true)
                .setReportEndpointGranularity(true)
                .setLoadReportingInterval(
                        Duration.newBuilder()
                                .setSeconds(nanos / NANOS_PER_SECOND)
                                .setNanos((int) (nanos % NANOS_PER_SECOND)))
                .build();
    }

    @Override
    public void onError(Throwable error) {
        proxyId = UNIDENTIFIED;
    }

    @Override
    public void onCompleted() {
        responses.onCompleted();
    }
}
