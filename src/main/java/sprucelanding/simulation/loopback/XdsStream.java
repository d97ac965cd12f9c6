package sprucelanding.simulation.loopback;

import com.google.rpc.Code;
import com.google.rpc.Status;
import io.envoyproxy.envoy.service.discovery.v3.AggregatedDiscoveryServiceGrpc.AggregatedDiscoveryServiceStub;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import sprucelanding.runtime.eventloop.EventLoop;

/**
 * The aggregated discovery stream of an {@link XdsClient}, in one of the two variants of the
 * protocol. Responses are processed one at a time on the event loop.
 *
 * @param <Q> the type of the request messages
 * @param <R> the type of the response messages
 */
abstract class XdsStream<Q, R> implements ClientResponseObserver<Q, R> {
    static final String REJECTED_BY_SCRIPT = "rejected by script";

    private final EventLoop loop;
    private final XdsClient client;
    private ClientCallStreamObserver<Q> requests;
    private boolean readsPaused;

    /** How many responses to request from the transport when reads are resumed. */
    private int deferredReads;

    XdsStream(EventLoop loop, XdsClient client) {
        this.loop = loop;
        this.client = client;
    }

    /** Opens the stream and sends the first requests. */
    abstract void open(AggregatedDiscoveryServiceStub stub);

    /** Processes a response. */
    abstract void onResponse(R response);

    /** Returns the client that owns this stream. */
    final XdsClient client() {
        return client;
    }

    final void send(Q request) {
        requests.onNext(request);
    }

    final void cancel() {
        if (requests != null) {
            requests.cancel("closed", null);
        }
    }

    final void setReadsPaused(boolean enabled) {
        readsPaused = enabled;
        if (!enabled && requests != null && deferredReads > 0) {
            requests.request(deferredReads);
            deferredReads = 0;
        }
    }

    private void requestNext() {
        if (readsPaused) {
            deferredReads++;
        } else {
            requests.request(1);
        }
    }

    static Status rejection() {
        return Status.newBuilder()
                .setCode(Code.INVALID_ARGUMENT_VALUE)
                .setMessage(REJECTED_BY_SCRIPT)
                .build();
    }

    @Override
    public final void beforeStart(ClientCallStreamObserver<Q> stream) {
        requests = stream;
        stream.disableAutoRequestWithInitial(1);
    }

    @Override
    public final void onNext(R response) {
        loop.tryExecute(
                () -> {
                    if (!client.isClosed()) {
                        onResponse(response);
                        requestNext();
                    }
                });
    }

    @Override
    public final void onError(Throwable error) {
        loop.tryExecute(() -> client.fail(error.toString()));
    }

    @Override
    public final void onCompleted() {
        loop.tryExecute(() -> client.fail("governor completed the xDS stream"));
    }
}
