package sprucelanding.simulation.loopback;

import com.google.protobuf.InvalidProtocolBufferException;
import io.envoyproxy.envoy.config.core.v3.Node;
import io.envoyproxy.envoy.service.discovery.v3.AggregatedDiscoveryServiceGrpc.AggregatedDiscoveryServiceStub;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryResponse;
import io.envoyproxy.envoy.service.discovery.v3.Resource;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import sprucelanding.runtime.eventloop.EventLoop;

/**
 * The incremental variant of an xDS stream: subscribes to resources by name, and receives the
 * resources that changed.
 */
final class DeltaXdsStream extends XdsStream<DeltaDiscoveryRequest, DeltaDiscoveryResponse> {
    private final Node node;
    private final XdsTables tables;
    private final Set<String> subscribedTypes = new HashSet<>();

    DeltaXdsStream(EventLoop loop, XdsClient client, Node node, XdsTables tables) {
        super(loop, client);
        this.node = node;
        this.tables = tables;
    }

    @Override
    void open(AggregatedDiscoveryServiceStub stub) {
        stub.deltaAggregatedResources(this);
        subscribe(XdsTypes.CLUSTER, List.of("*"), List.of());
        subscribe(XdsTypes.ROUTE, List.of(XdsTypes.ROUTE_NAME), List.of());
        subscribe(XdsTypes.ASSIGNMENT, List.copyOf(tables.clusterNames()), List.of());
        subscribe(XdsTypes.ENDPOINT, tables.subscribeHeldCollections(), List.of());
    }

    /**
     * Subscribes to and unsubscribes from resources of a type. The first request of a type carries
     * the versions of the resources that the proxy holds. A request without names is not sent.
     */
    private void subscribe(String type, List<String> added, List<String> removed) {
        boolean first = !subscribedTypes.contains(type);
        if (added.isEmpty() && (first || removed.isEmpty())) {
            return;
        }
        DeltaDiscoveryRequest.Builder request =
                DeltaDiscoveryRequest.newBuilder()
                        .setTypeUrl(type)
                        .setNode(node)
                        .addAllResourceNamesSubscribe(added)
                        .addAllResourceNamesUnsubscribe(removed);
        if (first) {
            subscribedTypes.add(type);
            request.putAllInitialResourceVersions(tables.versions(type));
        }
        send(request.build());
    }

    @Override
    void onResponse(DeltaDiscoveryResponse response) {
        String type = response.getTypeUrl();
        long nonce = Long.parseLong(response.getNonce());
        String controlPlaneId = response.getControlPlane().getIdentifier();
        if (response.getResourcesCount() > 0 && client().consumeRejection()) {
            client().listener().onRejected(type, nonce, controlPlaneId);
            client().reject(() -> send(rejection(response)), nonce);
            return;
        }
        XdsTables.AppliedResources applied = new XdsTables.AppliedResources();
        try {
            for (Resource resource : response.getResourcesList()) {
                tables.apply(
                        type,
                        resource.getName(),
                        resource.getVersion(),
                        resource.getResource(),
                        applied);
            }
        } catch (InvalidProtocolBufferException e) {
            client().fail("cannot decode a " + type + " response: " + e.getMessage());
            return;
        }
        for (String name : response.getRemovedResourcesList()) {
            tables.remove(type, name, applied);
        }
        int changes = response.getResourcesCount() + response.getRemovedResourcesCount();
        client().listener().onApplied(type, nonce, changes, controlPlaneId);
        client().acknowledge(() -> send(acknowledgement(response).build()), nonce);
        subscribe(XdsTypes.ASSIGNMENT, applied.newClusters(), applied.removedClusters());
        subscribe(XdsTypes.ENDPOINT, applied.newCollections(), applied.removedCollections());
    }

    private static DeltaDiscoveryRequest.Builder acknowledgement(DeltaDiscoveryResponse response) {
        return DeltaDiscoveryRequest.newBuilder()
                .setTypeUrl(response.getTypeUrl())
                .setResponseNonce(response.getNonce());
    }

    private static DeltaDiscoveryRequest rejection(DeltaDiscoveryResponse response) {
        return acknowledgement(response).setErrorDetail(rejection()).build();
    }
}
