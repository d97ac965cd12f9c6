package sprucelanding.front.xds;

import io.envoyproxy.envoy.config.core.v3.ControlPlane;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryResponse;
import io.grpc.stub.StreamObserver;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.delivery.ResourceName;
import sprucelanding.control.delivery.ResourceType;
import sprucelanding.control.delivery.ResourceUpdate;
import sprucelanding.control.delivery.RoutingResource;
import sprucelanding.runtime.governor.ResourceNaming;

/** The incremental form (xDS protocol, "Incremental xDS"). */
final class DeltaStream extends DiscoveryStream<DeltaDiscoveryRequest, DeltaDiscoveryResponse> {
    private final Set<ResourceType> openedTypes = EnumSet.noneOf(ResourceType.class);

    DeltaStream(XdsFront front, StreamObserver<DeltaDiscoveryResponse> out) {
        super(front, out, true);
    }

    @Override
    void onRequest(DeltaDiscoveryRequest request) {
        ResourceType type = resourceTypeOf(request.getTypeUrl());
        identifyProxy(request.getNode(), request.getInitialResourceVersionsCount() == 0);
        ProxyStream stream = proxyStream;
        if (openedTypes.add(type)) {
            Map<ResourceName, String> versions =
                    parseVersions(type, request.getInitialResourceVersionsMap());
            if (!versions.isEmpty()) {
                awaitAccepted(() -> front.core().resourcesHeld(stream, versions));
            }
            if (type == ResourceType.CLUSTER && request.getResourceNamesSubscribeCount() == 0) {
                updateSubscriptions(
                        type, List.of("*"), true); // an empty first request is a wildcard
            }
        }
        updateSubscriptions(type, request.getResourceNamesUnsubscribeList(), false);
        updateSubscriptions(type, request.getResourceNamesSubscribeList(), true);
        if (!request.getResponseNonce().isEmpty()) {
            long nonce = number(request.getResponseNonce());
            String refusal =
                    request.hasErrorDetail() ? request.getErrorDetail().getMessage() : null;
            awaitAccepted(() -> front.core().updateAnswered(stream, nonce, refusal));
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
                        .setControlPlane(
                                ControlPlane.newBuilder().setIdentifier(front.identifier(epoch)));
        for (RoutingResource resource : update.resources) {
            response.addResources(XdsFront.encodedResource(resource, true, naming));
        }
        update.removedNames.forEach(
                name -> response.addRemovedResources(ResourceEncoder.resourceName(name)));
        return response.build();
    }
}
