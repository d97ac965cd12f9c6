package sprucelanding.simulation.loopback;

import com.google.protobuf.Any;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Struct;
import com.google.protobuf.Value;
import io.envoyproxy.envoy.config.cluster.v3.Cluster;
import io.envoyproxy.envoy.config.core.v3.HealthStatus;
import io.envoyproxy.envoy.config.core.v3.Locality;
import io.envoyproxy.envoy.config.core.v3.Node;
import io.envoyproxy.envoy.config.core.v3.SocketAddress;
import io.envoyproxy.envoy.config.endpoint.v3.ClusterLoadAssignment;
import io.envoyproxy.envoy.config.endpoint.v3.LbEndpoint;
import io.envoyproxy.envoy.config.endpoint.v3.LocalityLbEndpoints;
import io.envoyproxy.envoy.config.route.v3.RouteConfiguration;
import io.envoyproxy.envoy.extensions.filters.http.local_ratelimit.v3.LocalRateLimit;
import io.envoyproxy.envoy.service.discovery.v3.AggregatedDiscoveryServiceGrpc;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryResponse;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryResponse;
import io.envoyproxy.envoy.service.discovery.v3.Resource;
import io.grpc.CallOptions;
import io.grpc.ManagedChannel;
import io.grpc.MethodDescriptor;
import io.grpc.Status;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import io.grpc.netty.shaded.io.netty.channel.nio.NioEventLoopGroup;
import io.grpc.netty.shaded.io.netty.channel.socket.nio.NioSocketChannel;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientCalls;
import io.grpc.stub.ClientResponseObserver;
import io.grpc.stub.StreamObserver;
import java.io.ByteArrayInputStream;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.simulation.model.ProxyTables;
import sprucelanding.simulation.model.Route;
import sprucelanding.simulation.model.WeightedEndpoint;

/**
 * The xDS side of a plain proxy: one aggregated stream, delta or state of the world, whose
 * resources it puts into tables and acknowledges. It can answer late, reject, or read nothing. Runs
 * on its loop; the transport hands over.
 */
final class XdsClient implements ControlChannel {
    static final String TYPE_URL_PREFIX = "type.googleapis.com/";
    static final String CLUSTER_TYPE = TYPE_URL_PREFIX + Cluster.getDescriptor().getFullName();
    static final String ASSIGNMENT_TYPE =
            TYPE_URL_PREFIX + ClusterLoadAssignment.getDescriptor().getFullName();
    static final String ENDPOINT_TYPE = TYPE_URL_PREFIX + LbEndpoint.getDescriptor().getFullName();
    static final String ROUTE_TYPE =
            TYPE_URL_PREFIX + RouteConfiguration.getDescriptor().getFullName();

    private static final MethodDescriptor.Marshaller<byte[]> BYTES =
            new MethodDescriptor.Marshaller<>() {
                @Override
                public InputStream stream(byte[] value) {
                    return new ByteArrayInputStream(value);
                }

                @Override
                public byte[] parse(InputStream stream) {
                    return new byte[0];
                }
            };

    /** Nobody serves it; whoever is alive says so. */
    private static final MethodDescriptor<byte[], byte[]> KEEPALIVE_METHOD =
            MethodDescriptor.newBuilder(BYTES, BYTES)
                    .setType(MethodDescriptor.MethodType.UNARY)
                    .setFullMethodName("standin.Alive/Ask")
                    .build();

    private final EventLoop loop;
    private final ManagedChannel channel;
    private final LoadReportClient loadReports;
    private final ProxyTables<InetSocketAddress> tables;
    private final ControlChannelListener listener;
    private final Node node;
    private final boolean incremental;
    private ClientCallStreamObserver<?> requestStream;
    private ClientCallStreamObserver<DeltaDiscoveryRequest> deltaRequests;
    private ClientCallStreamObserver<DiscoveryRequest> stateRequests;
    private final Set<String> subscribedTypes = new HashSet<>();
    private final Set<String> collections = new HashSet<>();
    private final Map<String, String> acceptedVersions = new HashMap<>();
    private double responseDelayMillis;
    private int messagesToReject;
    private boolean readsPaused;
    private int deferredReads;
    private boolean closed;

    XdsClient(
            EventLoop loop,
            NioEventLoopGroup transport,
            int port,
            Node node,
            boolean deltas,
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
                        .maxInboundMessageSize(16 << 20)
                        .build();
        this.loadReports = loadReports;
        this.tables = tables;
        this.listener = listener;
        this.incremental = deltas;
        this.node = node;
    }

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

    private abstract class Observer<Q, R> implements ClientResponseObserver<Q, R> {
        abstract void onResponse(R response);

        @Override
        public void beforeStart(ClientCallStreamObserver<Q> stream) {
            stream.disableAutoRequestWithInitial(1);
        }

        @Override
        public void onNext(R response) {
            loop.tryExecute(
                    () -> {
                        if (!closed) {
                            onResponse(response);
                            requestNext();
                        }
                    });
        }

        @Override
        public void onError(Throwable error) {
            loop.tryExecute(() -> fail(error.toString()));
        }

        @Override
        public void onCompleted() {
            loop.tryExecute(() -> fail("completed"));
        }
    }

    private void fail(String reason) {
        if (!closed) {
            closed = true;
            listener.onBroken(reason);
        }
    }

    @Override
    @SuppressWarnings("unchecked")
    public void open() {
        loadReports.open(channel);
        loop.schedule(KEEPALIVE_MILLIS, this::sendKeepalive);
        AggregatedDiscoveryServiceGrpc.AggregatedDiscoveryServiceStub stub =
                AggregatedDiscoveryServiceGrpc.newStub(channel);
        if (incremental) {
            deltaRequests =
                    (ClientCallStreamObserver<DeltaDiscoveryRequest>)
                            stub.deltaAggregatedResources(
                                    new Observer<DeltaDiscoveryRequest, DeltaDiscoveryResponse>() {
                                        @Override
                                        void onResponse(DeltaDiscoveryResponse response) {
                                            onDeltaResponse(response);
                                        }
                                    });
            requestStream = deltaRequests;
            subscribe(CLUSTER_TYPE, List.of("*"), List.of());
            subscribe(ROUTE_TYPE, List.of("txns"), List.of());
            subscribe(ASSIGNMENT_TYPE, List.copyOf(tables.clusters.keySet()), List.of());
            List<String> heldCollections =
                    tables.clusters.keySet().stream().map(XdsClient::collectionName).toList();
            collections.addAll(heldCollections);
            subscribe(ENDPOINT_TYPE, heldCollections, List.of());
        } else {
            stateRequests =
                    (ClientCallStreamObserver<DiscoveryRequest>)
                            stub.streamAggregatedResources(
                                    new Observer<DiscoveryRequest, DiscoveryResponse>() {
                                        @Override
                                        void onResponse(DiscoveryResponse response) {
                                            onStateResponse(response);
                                        }
                                    });
            requestStream = stateRequests;
            for (String type : List.of(CLUSTER_TYPE, ROUTE_TYPE, ASSIGNMENT_TYPE)) {
                request(type, tables.versions.getOrDefault("accepted " + type, ""), "", null);
            }
        }
    }

    /**
     * The transport's own keepalive is no faster than 10 s; proxies notice a silent governor within
     * three.
     */
    private void sendKeepalive() {
        if (closed) {
            return;
        }
        ClientCalls.asyncUnaryCall(
                channel.newCall(
                        KEEPALIVE_METHOD,
                        CallOptions.DEFAULT.withDeadlineAfter(
                                (long) KEEPALIVE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)),
                new byte[0],
                new StreamObserver<>() {
                    @Override
                    public void onNext(byte[] none) {
                        // nobody serves it
                    }

                    @Override
                    public void onError(Throwable error) {
                        boolean silent =
                                Status.fromThrowable(error).getCode()
                                        == Status.Code.DEADLINE_EXCEEDED;
                        loop.tryExecute(
                                silent
                                        ? () -> fail("silent")
                                        : () ->
                                                loop.schedule(
                                                        KEEPALIVE_MILLIS,
                                                        XdsClient.this::sendKeepalive));
                    }

                    @Override
                    public void onCompleted() {
                        // as above
                    }
                });
    }

    @Override
    public void close() {
        closed = true;
        loadReports.close();
        if (requestStream != null) {
            requestStream.cancel("closed", null);
        }
        channel.shutdownNow();
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
        readsPaused = enabled;
        if (!enabled && requestStream != null && deferredReads > 0) {
            requestStream.request(deferredReads);
            deferredReads = 0;
        }
    }

    private void requestNext() {
        if (readsPaused) {
            deferredReads++;
        } else {
            requestStream.request(1);
        }
    }

    private static String collectionName(String cluster) {
        return "xdstp://sprucelanding/envoy.config.endpoint.v3.LbEndpoint/" + cluster + "/*";
    }

    private void subscribe(String type, List<String> added, List<String> removed) {
        boolean first = subscribedTypes.add(type);
        if (!first && added.isEmpty() && removed.isEmpty() || first && added.isEmpty()) {
            if (first) {
                subscribedTypes.remove(type);
            }
            return;
        }
        DeltaDiscoveryRequest.Builder request =
                DeltaDiscoveryRequest.newBuilder()
                        .setTypeUrl(type)
                        .setNode(node)
                        .addAllResourceNamesSubscribe(added)
                        .addAllResourceNamesUnsubscribe(removed);
        if (first) {
            request.putAllInitialResourceVersions(versions(type));
        }
        deltaRequests.onNext(request.build());
    }

    private Map<String, String> versions(String type) {
        Map<String, String> versions = new LinkedHashMap<>();
        if (type.equals(ENDPOINT_TYPE)) {
            tables.clusters
                    .values()
                    .forEach(
                            entries ->
                                    entries.forEach(
                                            (name, entry) -> versions.put(name, entry.version)));
        } else {
            tables.versions.forEach(
                    (name, version) -> {
                        if (name.startsWith(type + " ")) {
                            versions.put(name.substring(type.length() + 1), version);
                        }
                    });
        }
        return versions;
    }

    private void onDeltaResponse(DeltaDiscoveryResponse response) {
        String type = response.getTypeUrl();
        long nonce = Long.parseLong(response.getNonce());
        String controlPlaneId = response.getControlPlane().getIdentifier();
        if (messagesToReject > 0 && response.getResourcesCount() > 0) {
            messagesToReject--;
            listener.onRejected(type, nonce, controlPlaneId);
            respond(
                    () ->
                            deltaRequests.onNext(
                                    DeltaDiscoveryRequest.newBuilder()
                                            .setTypeUrl(type)
                                            .setResponseNonce(response.getNonce())
                                            .setErrorDetail(
                                                    com.google.rpc.Status.newBuilder()
                                                            .setCode(3)
                                                            .setMessage("rejected by script"))
                                            .build()),
                    nonce,
                    true);
            return;
        }
        List<String> newClusters = new ArrayList<>();
        List<String> newCollections = new ArrayList<>();
        List<String> removedClusters = new ArrayList<>();
        List<String> removedCollections = new ArrayList<>();
        try {
            for (Resource resource : response.getResourcesList()) {
                apply(
                        type,
                        resource.getName(),
                        resource.getVersion(),
                        resource.getResource(),
                        newClusters,
                        newCollections);
            }
        } catch (InvalidProtocolBufferException e) {
            fail("unreadable: " + e.getMessage());
            return;
        }
        for (String name : response.getRemovedResourcesList()) {
            tables.versions.remove(type + " " + name);
            if (type.equals(CLUSTER_TYPE)) {
                removeCluster(name, removedClusters, removedCollections);
            } else if (type.equals(ENDPOINT_TYPE)) {
                tables.clusters.values().forEach(entries -> entries.remove(name));
            }
        }
        listener.onApplied(
                type,
                nonce,
                response.getResourcesCount() + response.getRemovedResourcesCount(),
                controlPlaneId);
        respond(
                () ->
                        deltaRequests.onNext(
                                DeltaDiscoveryRequest.newBuilder()
                                        .setTypeUrl(type)
                                        .setResponseNonce(response.getNonce())
                                        .build()),
                nonce,
                false);
        subscribe(ASSIGNMENT_TYPE, newClusters, removedClusters);
        subscribe(ENDPOINT_TYPE, newCollections, removedCollections);
    }

    private void removeCluster(
            String cluster, List<String> removedClusters, List<String> removedCollections) {
        tables.clusters.remove(cluster);
        tables.versions.remove(ASSIGNMENT_TYPE + " " + cluster);
        removedClusters.add(cluster);
        if (collections.remove(collectionName(cluster))) {
            removedCollections.add(collectionName(cluster));
        }
    }

    private void apply(
            String type,
            String name,
            String version,
            Any resource,
            List<String> newClusters,
            List<String> newCollections)
            throws InvalidProtocolBufferException {
        if (type.equals(CLUSTER_TYPE)) {
            tables.versions.put(type + " " + name, version);
            tables.clusters.computeIfAbsent(name, ignored -> new LinkedHashMap<>());
            newClusters.add(name);
        } else if (type.equals(ASSIGNMENT_TYPE)) {
            tables.versions.put(type + " " + name, version);
            ClusterLoadAssignment assignment = resource.unpack(ClusterLoadAssignment.class);
            for (LocalityLbEndpoints locality : assignment.getEndpointsList()) {
                if (locality.hasLedsClusterLocalityConfig()) {
                    if (collections.add(
                            locality.getLedsClusterLocalityConfig().getLedsCollectionName())) {
                        newCollections.add(
                                locality.getLedsClusterLocalityConfig().getLedsCollectionName());
                    }
                } else {
                    Map<String, WeightedEndpoint<InetSocketAddress>> table = new LinkedHashMap<>();
                    locality.getLbEndpointsList()
                            .forEach(
                                    lbEndpoint -> {
                                        WeightedEndpoint<InetSocketAddress> entry =
                                                toEntry("", lbEndpoint);
                                        table.put(entry.endpoint.toString(), entry);
                                    });
                    tables.clusters.put(name, table);
                }
            }
        } else if (type.equals(ENDPOINT_TYPE)) {
            String cluster = name.substring(0, name.lastIndexOf('/'));
            cluster = cluster.substring(cluster.lastIndexOf('/') + 1);
            tables.clusters
                    .computeIfAbsent(cluster, ignored -> new LinkedHashMap<>())
                    .put(name, toEntry(version, resource.unpack(LbEndpoint.class)));
        } else if (type.equals(ROUTE_TYPE)) {
            tables.versions.put(type + " " + name, version);
            tables.routes = toRoutes(resource.unpack(RouteConfiguration.class));
        }
    }

    private static WeightedEndpoint<InetSocketAddress> toEntry(
            String version, LbEndpoint lbEndpoint) {
        SocketAddress address = lbEndpoint.getEndpoint().getAddress().getSocketAddress();
        return new WeightedEndpoint<>(
                version,
                new InetSocketAddress(address.getAddress(), address.getPortValue()),
                lbEndpoint.getLoadBalancingWeight().getValue(),
                lbEndpoint.getHealthStatus() == HealthStatus.HEALTHY);
    }

    private static Map<String, Route> toRoutes(RouteConfiguration config)
            throws InvalidProtocolBufferException {
        Map<String, Route> routes = new LinkedHashMap<>();
        for (io.envoyproxy.envoy.config.route.v3.Route route :
                config.getVirtualHosts(0).getRoutesList()) {
            if (!route.hasRoute()) {
                continue; // the part that is not let in
            }
            double admittedShare =
                    route.getMatch().hasRuntimeFraction()
                            ? route.getMatch().getRuntimeFraction().getDefaultValue().getNumerator()
                                    / 1e6
                            : 1;
            double requestsPerSecond = Double.POSITIVE_INFINITY;
            Any limit =
                    route.getTypedPerFilterConfigOrDefault(
                            "envoy.filters.http.local_ratelimit", null);
            if (limit != null) {
                var bucket = limit.unpack(LocalRateLimit.class).getTokenBucket();
                requestsPerSecond =
                        bucket.getTokensPerFill().getValue()
                                / (bucket.getFillInterval().getSeconds()
                                        + bucket.getFillInterval().getNanos() / 1e9);
            }
            Route.RetryMode retry =
                    !route.getRoute().hasRetryPolicy()
                            ? Route.RetryMode.NEVER
                            : route.getRoute().getRetryPolicy().getRetryOn().contains("5xx")
                                    ? Route.RetryMode.ANY
                                    : Route.RetryMode.UNRUN;
            routes.put(
                    route.getMatch().getPrefix().substring(1),
                    new Route(
                            route.getRoute().getCluster(),
                            admittedShare,
                            requestsPerSecond,
                            retry));
        }
        return routes;
    }

    private void onStateResponse(DiscoveryResponse response) {
        String type = response.getTypeUrl();
        long nonce = Long.parseLong(response.getNonce());
        String controlPlaneId = response.getControlPlane().getIdentifier();
        if (messagesToReject > 0) {
            messagesToReject--;
            listener.onRejected(type, nonce, controlPlaneId);
            respond(
                    () ->
                            request(
                                    type,
                                    acceptedVersions.getOrDefault(type, ""),
                                    response.getNonce(),
                                    "rejected by script"),
                    nonce,
                    true);
            return;
        }
        int endpointCount = 0;
        try {
            if (type.equals(CLUSTER_TYPE)) {
                Set<String> names = new HashSet<>();
                for (Any resource : response.getResourcesList()) {
                    String name = resource.unpack(Cluster.class).getName();
                    names.add(name);
                    apply(
                            type,
                            name,
                            response.getVersionInfo(),
                            resource,
                            new ArrayList<>(),
                            new ArrayList<>());
                }
                tables.clusters.keySet().retainAll(names);
            } else {
                for (Any resource : response.getResourcesList()) {
                    boolean isAssignment = type.equals(ASSIGNMENT_TYPE);
                    ClusterLoadAssignment assignment =
                            isAssignment ? resource.unpack(ClusterLoadAssignment.class) : null;
                    endpointCount +=
                            isAssignment ? assignment.getEndpoints(0).getLbEndpointsCount() : 0;
                    apply(
                            type,
                            isAssignment ? assignment.getClusterName() : "txns",
                            response.getVersionInfo(),
                            resource,
                            new ArrayList<>(),
                            new ArrayList<>());
                }
            }
        } catch (InvalidProtocolBufferException e) {
            fail("unreadable: " + e.getMessage());
            return;
        }
        acceptedVersions.put(type, response.getVersionInfo());
        tables.versions.put("accepted " + type, response.getVersionInfo());
        listener.onApplied(
                type, nonce, Math.max(endpointCount, response.getResourcesCount()), controlPlaneId);
        respond(
                () -> request(type, response.getVersionInfo(), response.getNonce(), null),
                nonce,
                false);
        if (type.equals(CLUSTER_TYPE)) {
            request(ASSIGNMENT_TYPE, acceptedVersions.getOrDefault(ASSIGNMENT_TYPE, ""), "", null);
        }
    }

    private void request(String type, String version, String nonce, String reason) {
        DiscoveryRequest.Builder request =
                DiscoveryRequest.newBuilder()
                        .setTypeUrl(type)
                        .setNode(node)
                        .setVersionInfo(version)
                        .setResponseNonce(nonce);
        if (type.equals(ROUTE_TYPE)) {
            request.addResourceNames("txns");
        } else if (type.equals(ASSIGNMENT_TYPE)) {
            request.addAllResourceNames(tables.clusters.keySet());
        }
        if (reason != null) {
            request.setErrorDetail(
                    com.google.rpc.Status.newBuilder().setCode(3).setMessage(reason));
        }
        stateRequests.onNext(request.build());
    }

    private void respond(Runnable send, long nonce, boolean rejected) {
        Runnable now =
                () -> {
                    if (!closed) {
                        send.run();
                        listener.onAcknowledged(nonce, rejected);
                    }
                };
        if (responseDelayMillis > 0) {
            loop.schedule(responseDelayMillis, now);
        } else {
            now.run();
        }
    }
}
