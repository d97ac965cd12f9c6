package sprucelanding.simulation.loopback;

import com.google.protobuf.Any;
import com.google.protobuf.InvalidProtocolBufferException;
import io.envoyproxy.envoy.config.cluster.v3.Cluster;
import io.envoyproxy.envoy.config.core.v3.Node;
import io.envoyproxy.envoy.config.endpoint.v3.ClusterLoadAssignment;
import io.envoyproxy.envoy.service.discovery.v3.AggregatedDiscoveryServiceGrpc.AggregatedDiscoveryServiceStub;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryResponse;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sprucelanding.runtime.eventloop.EventLoop;

/**
 * The state-of-the-world variant of an xDS stream: each response contains all resources of its
 * type.
 */
final class StateOfTheWorldXdsStream extends XdsStream<DiscoveryRequest, DiscoveryResponse> {
    private final Node node;
    private final XdsTables tables;

    /** The latest version accepted on this stream, by type URL. */
    private final Map<String, String> acceptedVersions = new HashMap<>();

    StateOfTheWorldXdsStream(EventLoop loop, XdsClient client, Node node, XdsTables tables) {
        super(loop, client);
        this.node = node;
        this.tables = tables;
    }

    @Override
    void open(AggregatedDiscoveryServiceStub stub) {
        stub.streamAggregatedResources(this);
        for (String type : List.of(XdsTypes.CLUSTER, XdsTypes.ROUTE, XdsTypes.ASSIGNMENT)) {
            send(request(type, tables.acceptedVersion(type), "").build());
        }
    }

    @Override
    void onResponse(DiscoveryResponse response) {
        String type = response.getTypeUrl();
        String version = response.getVersionInfo();
        long nonce = Long.parseLong(response.getNonce());
        String controlPlaneId = response.getControlPlane().getIdentifier();
        if (client().consumeRejection()) {
            client().listener().onRejected(type, nonce, controlPlaneId);
            client().reject(() -> send(rejection(response)), nonce);
            return;
        }
        int endpointCount;
        try {
            endpointCount = apply(response);
        } catch (InvalidProtocolBufferException e) {
            client().fail("cannot decode a " + type + " response: " + e.getMessage());
            return;
        }
        acceptedVersions.put(type, version);
        tables.setAcceptedVersion(type, version);
        int entries = Math.max(endpointCount, response.getResourcesCount());
        client().listener().onApplied(type, nonce, entries, controlPlaneId);
        client().acknowledge(
                        () -> send(request(type, version, response.getNonce()).build()), nonce);
        if (type.equals(XdsTypes.CLUSTER)) {
            send(request(XdsTypes.ASSIGNMENT, versionOnStream(XdsTypes.ASSIGNMENT), "").build());
        }
    }

    /** Applies all resources of a response, and returns how many endpoints its assignments have. */
    private int apply(DiscoveryResponse response) throws InvalidProtocolBufferException {
        String type = response.getTypeUrl();
        XdsTables.AppliedResources ignored = new XdsTables.AppliedResources();
        Set<String> names = new HashSet<>();
        int endpointCount = 0;
        for (Any resource : response.getResourcesList()) {
            String name = XdsTypes.ROUTE_NAME;
            if (type.equals(XdsTypes.CLUSTER)) {
                name = resource.unpack(Cluster.class).getName();
            } else if (type.equals(XdsTypes.ASSIGNMENT)) {
                ClusterLoadAssignment assignment = resource.unpack(ClusterLoadAssignment.class);
                name = assignment.getClusterName();
                endpointCount += assignment.getEndpoints(0).getLbEndpointsCount();
            }
            names.add(name);
            tables.apply(type, name, response.getVersionInfo(), resource, ignored);
        }
        if (type.equals(XdsTypes.CLUSTER)) {
            tables.retainClusters(names);
        }
        return endpointCount;
    }

    private String versionOnStream(String type) {
        return acceptedVersions.getOrDefault(type, "");
    }

    private DiscoveryRequest.Builder request(String type, String version, String nonce) {
        DiscoveryRequest.Builder request =
                DiscoveryRequest.newBuilder()
                        .setTypeUrl(type)
                        .setNode(node)
                        .setVersionInfo(version)
                        .setResponseNonce(nonce);
        if (type.equals(XdsTypes.ROUTE)) {
            request.addResourceNames(XdsTypes.ROUTE_NAME);
        } else if (type.equals(XdsTypes.ASSIGNMENT)) {
            request.addAllResourceNames(tables.clusterNames());
        }
        return request;
    }

    private DiscoveryRequest rejection(DiscoveryResponse response) {
        String type = response.getTypeUrl();
        return request(type, versionOnStream(type), response.getNonce())
                .setErrorDetail(rejection())
                .build();
    }
}
