package sprucelanding.front.xds;

import io.envoyproxy.envoy.config.core.v3.ControlPlane;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryResponse;
import io.grpc.stub.StreamObserver;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.delivery.ResourceType;
import sprucelanding.control.delivery.ResourceUpdate;
import sprucelanding.control.delivery.RoutingResource;
import sprucelanding.runtime.governor.ResourceNaming;

/**
 * The state-of-the-world form: a request names all that is wanted of a type, and a stale nonce
 * makes it void.
 */
final class StateOfTheWorldStream extends DiscoveryStream<DiscoveryRequest, DiscoveryResponse> {
    private final Set<ResourceType> openedTypes = EnumSet.noneOf(ResourceType.class);

    /** The newest message of each kind: requests with an older nonce are left alone. */
    private final Map<ResourceType, Long> latestNonceByType = new ConcurrentHashMap<>();

    StateOfTheWorldStream(XdsFront front, StreamObserver<DiscoveryResponse> out) {
        super(front, out, false);
    }

    @Override
    void onRequest(DiscoveryRequest request) {
        ResourceType type = resourceTypeOf(request.getTypeUrl());
        identifyProxy(request.getNode(), request.getVersionInfo().isEmpty());
        ProxyStream stream = proxyStream;
        boolean first = openedTypes.add(type);
        if (!first
                && number(request.getResponseNonce()) != latestNonceByType.getOrDefault(type, -1L)
                && !request.getResponseNonce().isEmpty()) {
            return;
        }
        if (type == ResourceType.CLUSTER) {
            if (first && request.getResourceNamesCount() == 0) {
                updateSubscriptions(type, List.of("*"), true);
            }
            updateSubscriptions(type, request.getResourceNamesList(), true);
        } else {
            List<String> wanted = request.getResourceNamesList();
            List<String> unsubscribed =
                    subscriptions(type).stream()
                            .map(ResourceEncoder::resourceName)
                            .filter(name -> !wanted.contains(name))
                            .toList();
            updateSubscriptions(type, unsubscribed, false);
            updateSubscriptions(type, wanted, true);
        }
        if (!request.getResponseNonce().isEmpty() && !first) {
            long nonce = number(request.getResponseNonce());
            String refusal =
                    request.hasErrorDetail() ? request.getErrorDetail().getMessage() : null;
            awaitAccepted(() -> front.core().updateAnswered(stream, nonce, refusal));
        }
    }

    @Override
    DiscoveryResponse encodeResponse(ResourceUpdate update, long epoch, ResourceNaming naming) {
        latestNonceByType.put(update.type, update.id);
        DiscoveryResponse.Builder response =
                DiscoveryResponse.newBuilder()
                        .setTypeUrl(ResourceEncoder.typeUrl(update.type))
                        .setNonce(Long.toString(update.id))
                        .setVersionInfo(Long.toString(update.id))
                        .setControlPlane(
                                ControlPlane.newBuilder().setIdentifier(front.identifier(epoch)));
        for (RoutingResource resource : update.resources) {
            response.addResources(XdsFront.encodedResource(resource, false, naming).getResource());
        }
        return response.build();
    }
}
