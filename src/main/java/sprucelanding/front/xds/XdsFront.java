package sprucelanding.front.xds;

import io.envoyproxy.envoy.service.discovery.v3.AggregatedDiscoveryServiceGrpc;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryResponse;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryResponse;
import io.grpc.Server;
import io.grpc.Status;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import io.grpc.netty.shaded.io.netty.channel.nio.NioEventLoopGroup;
import io.grpc.netty.shaded.io.netty.channel.socket.nio.NioServerSocketChannel;
import io.grpc.stub.StreamObserver;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.delivery.ResourceUpdate;
import sprucelanding.front.CoreNotifier;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.runtime.governor.CoreHandle;
import sprucelanding.runtime.governor.Front;
import sprucelanding.runtime.governor.ResourceNaming;

/**
 * The front for proxies that speak xDS. Listens for connections, and passes messages between the
 * proxies' streams and the core. Construct the front, add it to the governor, then start it.
 * Thread-safe.
 */
public final class XdsFront implements Front {
    private static final Logger LOG = LoggerFactory.getLogger(XdsFront.class);
    private static final int FLOW_CONTROL_WINDOW_BYTES = 256 * 1024;
    private static final int ACCEPT_THREADS = 1;
    private static final int TRANSPORT_THREADS = 2;
    private static final int MAX_CALLS_PER_CONNECTION = 8;
    private static final int KEEP_ALIVE_SECONDS = 5;
    private static final int MIN_CLIENT_KEEP_ALIVE_SECONDS = 1;
    private static final int UNIDENTIFIED_PROXY = -1;

    private final CoreHandle core;
    private final ResourceNaming naming;
    private final String identifier;
    private final InetSocketAddress bindAddress;
    private final Server server;
    private final NioEventLoopGroup acceptGroup = new NioEventLoopGroup(ACCEPT_THREADS);
    private final NioEventLoopGroup workerGroup = new NioEventLoopGroup(TRANSPORT_THREADS);
    private final ResponseWriters writers = new ResponseWriters();
    private final CoreNotifier notifier = new CoreNotifier();

    /**
     * Creates a front that doesn't listen yet.
     *
     * @param core receives what proxies request and report
     * @param naming names of request classes and addresses of endpoints
     * @param identifier name under which proxies know this governor
     * @param bindAddress address to listen on
     * @param maxMessageBytes the largest message that is accepted from a proxy
     * @param reportIntervalMillis ms between two load reports of a proxy
     */
    public XdsFront(
            CoreHandle core,
            ResourceNaming naming,
            String identifier,
            InetSocketAddress bindAddress,
            int maxMessageBytes,
            double reportIntervalMillis) {
        this.core = core;
        this.naming = naming;
        this.identifier = identifier;
        this.bindAddress = bindAddress;
        this.server =
                NettyServerBuilder.forAddress(bindAddress)
                        .bossEventLoopGroup(acceptGroup)
                        .workerEventLoopGroup(workerGroup)
                        .channelType(NioServerSocketChannel.class)
                        .directExecutor()
                        .maxInboundMessageSize(maxMessageBytes)
                        .flowControlWindow(FLOW_CONTROL_WINDOW_BYTES)
                        .keepAliveTime(KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
                        .keepAliveTimeout(KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
                        .permitKeepAliveTime(MIN_CLIENT_KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
                        .maxConcurrentCallsPerConnection(MAX_CALLS_PER_CONNECTION)
                        .addService(new DiscoveryService())
                        .addService(new LoadReportingService(this, naming, reportIntervalMillis))
                        .build();
    }

    private final class DiscoveryService
            extends AggregatedDiscoveryServiceGrpc.AggregatedDiscoveryServiceImplBase {
        @Override
        public StreamObserver<DiscoveryRequest> streamAggregatedResources(
                StreamObserver<DiscoveryResponse> out) {
            return new StateOfTheWorldStream(XdsFront.this, out);
        }

        @Override
        public StreamObserver<DeltaDiscoveryRequest> deltaAggregatedResources(
                StreamObserver<DeltaDiscoveryResponse> out) {
            return new DeltaStream(XdsFront.this, out);
        }
    }

    /**
     * Starts the writer threads and listens for proxies.
     *
     * @throws IOException if the address can't be bound
     */
    public void start() throws IOException {
        writers.start();
        server.start();
        LOG.atInfo()
                .setMessage("the xDS front is listening")
                .addKeyValue("at", bindAddress)
                .addKeyValue("port", port())
                .log();
    }

    /** Returns the port that the front listens on. */
    public int port() {
        return server.getPort();
    }

    @Override
    public String name() {
        return "xds";
    }

    CoreHandle core() {
        return core;
    }

    @Override
    public void send(ResourceUpdate update, ResourceNaming naming) {
        DiscoveryStream<?, ?> stream = (DiscoveryStream<?, ?>) update.stream.transport;
        boolean accepted = submitWrite(update.stream.proxyId, () -> stream.enqueue(update, naming));
        if (!accepted) {
            // Later updates build on this one, so the proxy must reconnect and report what it
            // holds.
            LOG.atWarn()
                    .setMessage("too many writes are pending: the proxy is disconnected")
                    .addKeyValue("proxy", update.stream.proxyId)
                    .log();
            core.proxyDisconnected(update.stream);
        }
    }

    @Override
    public void endStream(ProxyStream proxyStream, boolean busy, String reason) {
        ((DiscoveryStream<?, ?>) proxyStream.transport)
                .terminate((busy ? Status.UNAVAILABLE : Status.ABORTED).withDescription(reason));
    }

    void updateWritten(ResourceUpdate update, long bytes) {
        core.updateWritten(this, update, EventLoop.nowMillis(), bytes);
    }

    void leaseExpired(ResourceUpdate update) {
        LOG.atWarn()
                .setMessage("an update is not written: the lease has expired")
                .addKeyValue("proxy", update.stream.proxyId)
                .addKeyValue("epoch", update.stream.lease().epoch())
                .addKeyValue("age", EventLoop.nowMillis() - update.sentAt)
                .log();
    }

    ResourceNaming naming() {
        return naming;
    }

    /** Returns the governor's identifier; contains the epoch if governors share the fleet. */
    String identifier(long epoch) {
        return epoch == 0 ? identifier : identifier + "#" + epoch;
    }

    void streamRejected(ProxyStream proxyStream, Status status) {
        LOG.atWarn()
                .setMessage("stream rejected")
                .addKeyValue(
                        "proxy", proxyStream == null ? UNIDENTIFIED_PROXY : proxyStream.proxyId)
                .addKeyValue("code", status.getCode())
                .addKeyValue("why", status.getDescription())
                .setCause(status.getCause())
                .log();
    }

    /** Queues a task for the proxy's writer thread; returns false if too many are waiting. */
    boolean submitWrite(int proxyId, Runnable task) {
        return writers.submit(proxyId, task);
    }

    /** Waits until the core has accepted a notification. */
    void awaitAccepted(BooleanSupplier notification) {
        notifier.awaitAccepted(notification);
    }

    @Override
    public void close() {
        notifier.close();
        writers.stopTakingTasks();
        server.shutdownNow();
        writers.close();
        acceptGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        workerGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
