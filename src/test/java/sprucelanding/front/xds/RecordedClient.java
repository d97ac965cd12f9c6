package sprucelanding.front.xds;

import com.google.protobuf.Message;
import com.google.protobuf.TextFormat;
import com.google.protobuf.TypeRegistry;
import io.envoyproxy.envoy.config.cluster.v3.Cluster;
import io.envoyproxy.envoy.config.endpoint.v3.ClusterLoadAssignment;
import io.envoyproxy.envoy.config.endpoint.v3.LbEndpoint;
import io.envoyproxy.envoy.config.route.v3.RouteConfiguration;
import io.envoyproxy.envoy.extensions.filters.http.local_ratelimit.v3.LocalRateLimit;
import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import sprucelanding.testing.Recording;
import sprucelanding.testing.ScriptedCore;

/** A client of one discovery stream; what it sends and receives is recorded. */
abstract class RecordedClient<Q, R extends Message> implements StreamObserver<R> {
    private static final int TIMEOUT_SECONDS = 20;
    private static final TextFormat.Printer PRINTER =
            TextFormat.printer()
                    .usingTypeRegistry(
                            TypeRegistry.newBuilder()
                                    .add(Cluster.getDescriptor())
                                    .add(ClusterLoadAssignment.getDescriptor())
                                    .add(LbEndpoint.getDescriptor())
                                    .add(RouteConfiguration.getDescriptor())
                                    .add(LocalRateLimit.getDescriptor())
                                    .build());

    final String name;
    private final Recording recording;
    private final ScriptedCore core;
    private final BlockingQueue<R> heard = new LinkedBlockingQueue<>();
    private final BlockingQueue<Status> ended = new LinkedBlockingQueue<>();
    private final int sentBefore;
    private int responsesSeen;
    StreamObserver<Q> out;

    RecordedClient(String name, Recording recording, ScriptedCore core) {
        this.name = name;
        this.recording = recording;
        this.core = core;
        this.sentBefore = name.isEmpty() ? 0 : core.sentCount(name);
    }

    abstract void answers(R response, String error);

    abstract String nonce(R response);

    abstract String type(R response);

    void says(String what, Q request) {
        recording.add(name + " says: " + what);
        out.onNext(request);
    }

    R hears() throws Exception {
        R response = heard.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (response == null) {
            throw new AssertionError("no response; ended: " + ended.poll());
        }
        responsesSeen++;
        recording.add(name + " hears", response.toByteArray());
        recording.addLines(PRINTER.printToString(response).indent(4));
        return response;
    }

    /** Accepts all that comes, until nothing more is under way. */
    void settles() throws Exception {
        while (responsesSeen < core.sentCount(name) - sentBefore) {
            answered(hears(), null);
        }
        recording.add(name + " is settled");
    }

    void answered(R response, String error) throws Exception {
        recording.add(
                name
                        + (error == null ? " accepts " : " refuses ")
                        + nonce(response)
                        + " of "
                        + type(response));
        answers(response, error);
        core.awaitAnswer(name, nonce(response));
    }

    void endsWith() throws Exception {
        Status status = ended.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        recording.add(name + " is ended: " + status.getCode() + " " + status.getDescription());
    }

    @Override
    public void onNext(R response) {
        heard.add(response);
    }

    @Override
    public void onError(Throwable error) {
        ended.add(Status.fromThrowable(error));
    }

    @Override
    public void onCompleted() {
        ended.add(Status.OK);
    }
}
