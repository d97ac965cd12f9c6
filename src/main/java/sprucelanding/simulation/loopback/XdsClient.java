package sprucelanding.simulation.loopback;

import com.google.protobuf.Struct;
import com.google.protobuf.Value;
import io.envoyproxy.envoy.config.core.v3.Locality;
import io.envoyproxy.envoy.config.core.v3.Node;
import io.envoyproxy.envoy.service.discovery.v3.AggregatedDiscoveryServiceGrpc;
import io.grpc.ManagedChannel;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import io.grpc.netty.shaded.io.netty.channel.nio.NioEventLoopGroup;
import io.grpc.netty.shaded.io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.simulation.model.ProxyTables;

/**
 * The xDS client of a plain proxy. The client has one aggregated stream, incremental or state of
 * the world, and applies the resources of that stream to the proxy's tables and acknowledges them.
 * Faults make the client answer late, reject messages, or stop reading. All calls must be made on
 * the proxy's event loop; the transport's threads pass responses on to that loop.
 */
final class XdsClient implements ControlChannel {
    private static final int MAX_MESSAGE_BYTES = 16 << 20;

    private final EventLoop loop;
    private final ManagedChannel channel;
    private final LoadReportClient loadReports;
    private final ControlChannelListener listener;
    private final XdsStream<?, ?> stream;
    private final XdsKeepalive keepalive;
    private double responseDelayMillis;
    private int messagesToReject;
    private boolean closed;

    /**
     * Creates a client that is not open.
     *
     * @param port the port of the governor on the loopback address
     * @param incremental whether to use the incremental variant rather than state of the world
     */
    XdsClient(
            EventLoop loop,
            NioEventLoopGroup transport,
            int port,
            Node node,
            boolean incremental,
            ProxyTables<InetSocketAddress> tables,
            LoadReportClient loadReports,
            ControlChannelListener listener) {
        this.loop = loop;
        this.channel =
                NettyChannelBuilder.forAddress("127.0.0.1", port)
                        .usePlaintext()
                        .eventLoopGroup(transport)
                        .channelType(NioSocketChannel.class)
                        .directExecutor()
                        .keepAliveTime(2, TimeUnit.SECONDS)
                        .keepAliveTimeout(1, TimeUnit.SECONDS)
                        .maxInboundMessageSize(MAX_MESSAGE_BYTES)
                        .build();
        this.loadReports = loadReports;
        this.listener = listener;
        XdsTables xdsTables = new XdsTables(tables);
        this.stream =
                incremental
                        ? new DeltaXdsStream(loop, this, node, xdsTables)
                        : new StateOfTheWorldXdsStream(loop, this, node, xdsTables);
        this.keepalive =
                new XdsKeepalive(
                        loop,
                        channel,
                        this::isClosed,
                        () ->
                                fail(
                                        "governor did not answer the keepalive within "
                                                + KEEPALIVE_TIMEOUT_MILLIS
                                                + " ms"));
    }

    /** Returns the node that a proxy identifies itself with. */
    static Node node(String name, String zone, double expectedRate) {
        return Node.newBuilder()
                .setId(name)
                .setCluster("proxies")
                .setLocality(Locality.newBuilder().setZone(zone))
                .setMetadata(
                        Struct.newBuilder()
                                .putFields(
                                        "txns_per_s",
                                        Value.newBuilder().setNumberValue(expectedRate).build()))
                .build();
    }

    @Override
    public void open() {
        loadReports.open(channel);
        keepalive.scheduleNext();
        stream.open(AggregatedDiscoveryServiceGrpc.newStub(channel));
    }

    /** Reports the connection to the governor as lost, for this reason. */
    void fail(String reason) {
        if (!closed) {
            closed = true;
            listener.onBroken(reason);
        }
    }

    @Override
    public void close() {
        closed = true;
        loadReports.close();
        stream.cancel();
        channel.shutdownNow();
    }

    boolean isClosed() {
        return closed;
    }

    ControlChannelListener listener() {
        return listener;
    }

    @Override
    public void setResponseDelay(double millis) {
        responseDelayMillis = millis;
    }

    @Override
    public void rejectNext(int messages) {
        messagesToReject = messages;
    }

    @Override
    public void setReadsPaused(boolean enabled) {
        stream.setReadsPaused(enabled);
    }

    /** Returns whether to reject the next message. Each call consumes one rejection. */
    boolean consumeRejection() {
        if (messagesToReject <= 0) {
            return false;
        }
        messagesToReject--;
        return true;
    }

    /** Sends an acknowledgement, after a delay if a fault has set one. */
    void acknowledge(Runnable send, long nonce) {
        respond(send, nonce, false);
    }

    /** Sends a rejection, after a delay if a fault has set one. */
    void reject(Runnable send, long nonce) {
        respond(send, nonce, true);
    }

    private void respond(Runnable send, long nonce, boolean rejected) {
        Runnable respondNow =
                () -> {
                    if (!closed) {
                        send.run();
                        listener.onAcknowledged(nonce, rejected);
                    }
                };
        if (responseDelayMillis > 0) {
            loop.schedule(responseDelayMillis, respondNow);
        } else {
            respondNow.run();
        }
    }
}
