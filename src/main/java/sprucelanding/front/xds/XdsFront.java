package sprucelanding.front.xds;

import io.envoyproxy.envoy.service.discovery.v3.AggregatedDiscoveryServiceGrpc;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryResponse;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryResponse;
import io.envoyproxy.envoy.service.discovery.v3.Resource;
import io.grpc.Server;
import io.grpc.Status;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import io.grpc.netty.shaded.io.netty.channel.nio.NioEventLoopGroup;
import io.grpc.netty.shaded.io.netty.channel.socket.nio.NioServerSocketChannel;
import io.grpc.stub.StreamObserver;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.delivery.ResourceUpdate;
import sprucelanding.control.delivery.RoutingResource;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.runtime.governor.CoreHandle;
import sprucelanding.runtime.governor.Front;
import sprucelanding.runtime.governor.ResourceNaming;

/** Serves proxies that speak xDS. Open it, give it to the governor, then start it. */
public final class XdsFront implements Front {
    private static final Logger LOG = LoggerFactory.getLogger(XdsFront.class);
    private static final int WRITER_THREADS = 2;
    private static final int MAX_PENDING_WRITES = 65_536;
    private static final int FLOW_CONTROL_WINDOW_BYTES = 256 * 1024;

    private final CoreHandle core;
    private final ResourceNaming naming;
    private final String identifier;
    private final InetSocketAddress bindAddress;
    private final Server server;
    private final NioEventLoopGroup acceptGroup = new NioEventLoopGroup(1);
    private final NioEventLoopGroup workerGroup = new NioEventLoopGroup(2);
    private final Writer[] writers = new Writer[WRITER_THREADS];
    private volatile boolean closed;

    /**
     * @param identifier this governor, as proxies are told
     * @param largest bytes of a message from a proxy
     * @param reports ms between load reports
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
                        .keepAliveTime(5, TimeUnit.SECONDS)
                        .keepAliveTimeout(5, TimeUnit.SECONDS)
                        .permitKeepAliveTime(1, TimeUnit.SECONDS)
                        .maxConcurrentCallsPerConnection(8)
                        .addService(new DiscoveryService())
                        .addService(new LoadReportingService(this, naming, reportIntervalMillis))
                        .build();
        for (int resourceToEncode = 0; resourceToEncode < WRITER_THREADS; resourceToEncode++) {
            writers[resourceToEncode] = new Writer("xds-writer-" + resourceToEncode);
        }
    }

    /**
     * One thread that puts messages into words; a stream always has the same one, so that its
     * messages keep their order.
     */
    private final class Writer implements Runnable {
        final ArrayBlockingQueue<Runnable> tasks = new ArrayBlockingQueue<>(MAX_PENDING_WRITES);
        final Thread thread;

        Writer(String name) {
            thread = new Thread(this, name);
            thread.setDaemon(true);
        }

        @Override
        public void run() {
            while (!closed) {
                try {
                    Runnable next = tasks.poll(1, TimeUnit.SECONDS);
                    if (next != null) {
                        next.run();
                    }
                } catch (InterruptedException e) {
                    break;
                } catch (RuntimeException e) {
                    LOG.atError().setMessage("a message was not written").setCause(e).log();
                }
            }
        }
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

    /** Throws IOException if it cannot listen. */
    public void start() throws IOException {
        for (Writer writer : writers) {
            writer.thread.start();
        }
        server.start();
        LOG.atInfo()
                .setMessage("xds is served")
                .addKeyValue("at", bindAddress)
                .addKeyValue("port", port())
                .log();
    }

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

    /** Proxies on one table hold the same lines: each is put into words once. */
    static Resource encodedResource(
            RoutingResource resource, boolean incremental, ResourceNaming naming) {
        return resource.encoded(
                incremental ? 0 : 1,
                resourceToEncode ->
                        Resource.newBuilder()
                                .setName(ResourceEncoder.resourceName(resourceToEncode.name()))
                                .setVersion(resourceToEncode.version())
                                .setResource(
                                        ResourceEncoder.encode(
                                                resourceToEncode, incremental, naming))
                                .build());
    }

    @Override
    public void send(ResourceUpdate update, ResourceNaming naming) {
        DiscoveryStream<?, ?> stream = (DiscoveryStream<?, ?>) update.stream.transport;
        boolean accepted = submitWrite(update.stream.proxyId, () -> stream.enqueue(update, naming));
        if (!accepted) { // it cannot be left out: the proxy dials again and is laid from what it
            // holds
            LOG.atWarn()
                    .setMessage("too many messages wait to be written")
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
                .setMessage("a message is not written: the lease has run out")
                .addKeyValue("proxy", update.stream.proxyId)
                .addKeyValue("epoch", update.stream.lease().epoch())
                .addKeyValue("age", EventLoop.nowMillis() - update.sentAt)
                .log();
    }

    ResourceNaming naming() {
        return naming;
    }

    /**
     * This governor as a proxy is told: with the epoch under which it writes, where governors share
     * the fleet.
     */
    String identifier(long epoch) {
        return epoch == 0 ? identifier : identifier + "#" + epoch;
    }

    void streamRejected(ProxyStream proxyStream, Status status) {
        LOG.atWarn()
                .setMessage("a stream is refused")
                .addKeyValue("proxy", proxyStream == null ? -1 : proxyStream.proxyId)
                .addKeyValue("code", status.getCode())
                .addKeyValue("why", status.getDescription())
                .setCause(status.getCause())
                .log();
    }

    /** False if too much waits to be written. */
    boolean submitWrite(int proxyId, Runnable task) {
        return writers[proxyId % WRITER_THREADS].tasks.offer(task);
    }

    /** Asks the core until it takes it. This holds up the transport's thread, never the core. */
    void retryUntilAccepted(BooleanSupplier notification) {
        while (!notification.getAsBoolean() && !closed) {
            LockSupport.parkNanos(1_000_000);
        }
    }

    @Override
    public void close() {
        closed = true;
        server.shutdownNow();
        for (Writer writer : writers) {
            writer.thread.interrupt();
        }
        acceptGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        workerGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
