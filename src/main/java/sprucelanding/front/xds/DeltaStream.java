package sprucelanding.front.xds;

import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryResponse;
import io.grpc.stub.StreamObserver;
import java.util.Map;
import java.util.Optional;
import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.delivery.ResourceName;
import sprucelanding.control.delivery.ResourceType;
import sprucelanding.control.delivery.ResourceUpdate;
import sprucelanding.control.delivery.RoutingResource;
import sprucelanding.runtime.governor.ResourceNaming;

/** A discovery stream of the incremental variant (xDS protocol, "Incremental xDS"). */
final class DeltaStream extends DiscoveryStream<DeltaDiscoveryRequest, DeltaDiscoveryResponse> {
    DeltaStream(XdsFront front, StreamObserver<DeltaDiscoveryResponse> responses) {
        super(front, responses, StreamVariant.INCREMENTAL);
    }

    @Override
    void onRequest(DeltaDiscoveryRequest request) {
        ResourceType type = resourceTypeOf(request.getTypeUrl());
        identifyProxy(request.getNode(), request.getInitialResourceVersionsCount() == 0);
        ProxyStream stream = proxyStream();
        if (markOpened(type)) {
            onFirstRequest(stream, type, request);
        }
        unsubscribe(type, request.getResourceNamesUnsubscribeList());
        subscribe(type, request.getResourceNamesSubscribeList());
        if (!request.getResponseNonce().isEmpty()) {
            reportUpdateResult(stream, request.getResponseNonce(), rejectionOf(request));
        }
    }

    private static Optional<String> rejectionOf(DeltaDiscoveryRequest request) {
        return request.hasErrorDetail()
                ? Optional.of(request.getErrorDetail().getMessage())
                : Optional.empty();
    }

    private void onFirstRequest(
            ProxyStream stream, ResourceType type, DeltaDiscoveryRequest request) {
        Map<ResourceName, String> versions =
                parseVersions(type, request.getInitialResourceVersionsMap());
        if (!versions.isEmpty()) {
            awaitAccepted(() -> front().core().heldResourcesReported(stream, versions));
        }
        if (type == ResourceType.CLUSTER && request.getResourceNamesSubscribeCount() == 0) {
            subscribe(type, WILDCARD_NAMES); // An empty first request is a wildcard subscription.
        }
    }

    @Override
    DeltaDiscoveryResponse encodeResponse(
            ResourceUpdate update, long epoch, ResourceNaming naming) {
        DeltaDiscoveryResponse.Builder response =
                DeltaDiscoveryResponse.newBuilder()
                        .setTypeUrl(ResourceEncoder.typeUrl(update.type))
                        .setNonce(Long.toString(update.id))
                        .setSystemVersionInfo(Long.toString(update.id))
                        .setControlPlane(controlPlane(epoch));
        for (RoutingResource resource : update.resources) {
            response.addResources(encodedResource(resource, naming));
        }
        update.removedNames.forEach(
                name -> response.addRemovedResources(ResourceEncoder.resourceName(name)));
        return response.build();
    }
}
