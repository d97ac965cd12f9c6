package sprucelanding.front.xds;

import io.envoyproxy.envoy.service.discovery.v3.DiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryResponse;
import io.grpc.stub.StreamObserver;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.delivery.ResourceType;
import sprucelanding.control.delivery.ResourceUpdate;
import sprucelanding.control.delivery.RoutingResource;
import sprucelanding.runtime.governor.ResourceNaming;

/**
 * A discovery stream of the state-of-the-world variant. Each request names all resources of a type
 * that the proxy wants. A request with a stale nonce is ignored.
 */
final class StateOfTheWorldStream extends DiscoveryStream<DiscoveryRequest, DiscoveryResponse> {
    private static final long NO_NONCE = -1;

    /** Nonces of the latest responses. Written by a writer thread, read by transport threads. */
    private final Map<ResourceType, Long> latestNonceByType = new ConcurrentHashMap<>();

    StateOfTheWorldStream(XdsFront front, StreamObserver<DiscoveryResponse> responses) {
        super(front, responses, StreamVariant.STATE_OF_THE_WORLD);
    }

    @Override
    void onRequest(DiscoveryRequest request) {
        ResourceType type = resourceTypeOf(request.getTypeUrl());
        identifyProxy(request.getNode(), request.getVersionInfo().isEmpty());
        ProxyStream stream = proxyStream();
        boolean isFirst = markOpened(type);
        String nonce = request.getResponseNonce();
        if (!isFirst && !nonce.isEmpty() && isStale(type, nonce)) {
            return;
        }
        if (type == ResourceType.CLUSTER) {
            subscribeToClusters(request, isFirst);
        } else {
            replaceSubscriptions(type, request.getResourceNamesList());
        }
        if (!nonce.isEmpty() && !isFirst) {
            reportUpdateResult(stream, nonce, rejectionOf(request));
        }
    }

    private static Optional<String> rejectionOf(DiscoveryRequest request) {
        return request.hasErrorDetail()
                ? Optional.of(request.getErrorDetail().getMessage())
                : Optional.empty();
    }

    private boolean isStale(ResourceType type, String nonce) {
        return parseNonce(nonce) != latestNonceByType.getOrDefault(type, NO_NONCE);
    }

    private void subscribeToClusters(DiscoveryRequest request, boolean isFirst) {
        if (isFirst && request.getResourceNamesCount() == 0) {
            subscribe(ResourceType.CLUSTER, WILDCARD_NAMES);
        }
        subscribe(ResourceType.CLUSTER, request.getResourceNamesList());
    }

    private void replaceSubscriptions(ResourceType type, List<String> wanted) {
        List<String> unwanted =
                subscriptions(type).stream()
                        .map(ResourceEncoder::resourceName)
                        .filter(name -> !wanted.contains(name))
                        .toList();
        unsubscribe(type, unwanted);
        subscribe(type, wanted);
    }

    @Override
    DiscoveryResponse encodeResponse(ResourceUpdate update, long epoch, ResourceNaming naming) {
        latestNonceByType.put(update.type, update.id);
        DiscoveryResponse.Builder response =
                DiscoveryResponse.newBuilder()
                        .setTypeUrl(ResourceEncoder.typeUrl(update.type))
                        .setNonce(Long.toString(update.id))
                        .setVersionInfo(Long.toString(update.id))
                        .setControlPlane(controlPlane(epoch));
        for (RoutingResource resource : update.resources) {
            response.addResources(encodedResource(resource, naming).getResource());
        }
        return response.build();
    }
}
