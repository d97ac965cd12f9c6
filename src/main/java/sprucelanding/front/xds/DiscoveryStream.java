package sprucelanding.front.xds;

import com.google.protobuf.GeneratedMessageV3;
import com.google.protobuf.Value;
import io.envoyproxy.envoy.config.core.v3.ControlPlane;
import io.envoyproxy.envoy.config.core.v3.Node;
import io.envoyproxy.envoy.service.discovery.v3.Resource;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.delivery.ResourceName;
import sprucelanding.control.delivery.ResourceType;
import sprucelanding.control.delivery.ResourceUpdate;
import sprucelanding.control.delivery.RoutingResource;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.runtime.governor.ResourceNaming;

/**
 * An aggregated discovery stream of one proxy. The stream reads the next request only after the
 * core has accepted the previous one, so that a flood of requests stays in the peer's buffers. A
 * violation of the protocol ends this stream with a status that gives the reason. Other streams are
 * not affected.
 *
 * <p>Requests are read on transport threads, one at a time. Responses and the end of the stream are
 * written on the proxy's writer thread.
 */
abstract class DiscoveryStream<Q, R extends GeneratedMessageV3> implements StreamObserver<Q> {
    static final String WILDCARD = "*";
    static final List<String> WILDCARD_NAMES = List.of(WILDCARD);
    private static final int MAX_RESOURCE_NAMES = 2000;
    private static final int MAX_INITIAL_VERSIONS = 10 * MAX_RESOURCE_NAMES;
    private static final int MAX_NAME_LENGTH = 512;
    private static final int UNIDENTIFIED_PROXY = 0;
    private static final long INVALID_NONCE = -1;

    /** The field of a node's metadata with the requests per second that the proxy expects. */
    private static final String EXPECTED_RATE_FIELD = "txns_per_s";

    private static final double MAX_EXPECTED_REQUESTS_PER_SECOND = 1e6;

    private enum SubscriptionChange {
        SUBSCRIBE,
        UNSUBSCRIBE
    }

    private final XdsFront front;
    private final ServerCallStreamObserver<R> responses;
    private final StreamVariant variant;

    /** Null before the first request and after the end. Cleared under the lock on subscriptions. */
    private ProxyStream proxyStream;

    /** UNIDENTIFIED_PROXY before the first request; read by transport and writer threads. */
    private volatile int proxyId = UNIDENTIFIED_PROXY;

    private boolean started;

    /** Used on the writer thread only, which may change once, when the proxy is identified. */
    private volatile boolean closed;

    /** Updates that wait for the transport; bounded by the delivery. Used on the writer thread. */
    private final ArrayDeque<ResourceUpdate> pendingUpdates = new ArrayDeque<>();

    /** Resource types that at least one request was read for. */
    private final Set<ResourceType> openedTypes = EnumSet.noneOf(ResourceType.class);

    private final Map<ResourceType, Set<ResourceName>> subscriptions =
            new EnumMap<>(ResourceType.class);

    DiscoveryStream(XdsFront front, StreamObserver<R> responses, StreamVariant variant) {
        this.front = front;
        this.responses = (ServerCallStreamObserver<R>) responses;
        this.variant = variant;
        this.responses.disableAutoRequest();
        this.responses.setOnCancelHandler(this::reportClosed);
        this.responses.setOnReadyHandler(this::onReady);
        for (ResourceType type : ResourceType.values()) {
            subscriptions.put(type, new HashSet<>());
        }
    }

    /** Handles one request; a thrown StatusRuntimeException ends the stream. */
    abstract void onRequest(Q request);

    /** Encodes a response. Called on the writer thread. */
    abstract R encodeResponse(ResourceUpdate update, long epoch, ResourceNaming naming);

    final XdsFront front() {
        return front;
    }

    final ProxyStream proxyStream() {
        return proxyStream;
    }

    private void onReady() {
        if (!started) { // The transport can't deliver a request before it is ready.
            started = true;
            responses.request(1);
        } else {
            front.submitWrite(proxyId, () -> writePending(front.naming()));
        }
    }

    @Override
    public void onNext(Q request) {
        try {
            onRequest(request);
            responses.request(1);
        } catch (StatusRuntimeException e) {
            front.streamRejected(proxyStream, e.getStatus());
            terminate(e.getStatus());
        } catch (RuntimeException e) {
            // A bug in this program must not end other streams. The proxy connects again.
            front.streamRejected(
                    proxyStream, Status.INTERNAL.withDescription(e.toString()).withCause(e));
            terminate(Status.INTERNAL);
        }
    }

    @Override
    public void onError(Throwable error) {
        reportClosed();
    }

    @Override
    public void onCompleted() {
        reportClosed();
        front.submitWrite(proxyId, this::complete);
    }

    private void complete() {
        if (!closed) {
            closed = true;
            responses.onCompleted();
        }
    }

    private void reportClosed() {
        ProxyStream closedStream;
        synchronized (subscriptions) { // Transport and writer threads call this method.
            closedStream = proxyStream;
            proxyStream = null;
        }
        if (closedStream != null) {
            awaitAccepted(() -> front.core().proxyDisconnected(closedStream));
        }
    }

    /** Waits until the core accepts a notification; only the calling thread is blocked. */
    final void awaitAccepted(BooleanSupplier notification) {
        front.awaitAccepted(notification);
    }

    /**
     * Identifies the proxy by the node of the first request and reports the proxy to the core. Does
     * nothing for later requests.
     *
     * @param withoutVersions whether the proxy holds no resources yet
     */
    final void identifyProxy(Node node, boolean withoutVersions) {
        if (proxyStream != null) {
            return;
        }
        proxyId = assignProxyId(node);
        ProxyStream stream = new ProxyStream(proxyId, variant.updateMode(), this);
        proxyStream = stream;
        String zone = node.getLocality().getZone();
        double requestsPerSecond = expectedRequestsPerSecond(node);
        awaitAccepted(
                () ->
                        front.core()
                                .proxyConnected(
                                        front, stream, zone, requestsPerSecond, withoutVersions));
    }

    private int assignProxyId(Node node) {
        if (node.getId().isEmpty() || node.getId().length() > MAX_NAME_LENGTH) {
            throw Status.INVALID_ARGUMENT
                    .withDescription("node.id: expected 1 to 512 characters")
                    .asRuntimeException();
        }
        int assigned = front.core().proxyId(node.getId());
        if (assigned < 0) {
            throw Status.RESOURCE_EXHAUSTED
                    .withDescription("too many proxies")
                    .asRuntimeException();
        }
        return assigned;
    }

    private static double expectedRequestsPerSecond(Node node) {
        double rate =
                node.getMetadata()
                        .getFieldsOrDefault(EXPECTED_RATE_FIELD, Value.getDefaultInstance())
                        .getNumberValue();
        return rate >= 0 && rate < MAX_EXPECTED_REQUESTS_PER_SECOND ? rate : 0;
    }

    /** Registers a request for a type; returns true for the first one. */
    final boolean markOpened(ResourceType type) {
        return openedTypes.add(type);
    }

    final Set<ResourceName> subscriptions(ResourceType type) {
        return subscriptions.get(type);
    }

    final void subscribe(ResourceType type, List<String> names) {
        changeSubscriptions(type, names, SubscriptionChange.SUBSCRIBE);
    }

    final void unsubscribe(ResourceType type, List<String> names) {
        changeSubscriptions(type, names, SubscriptionChange.UNSUBSCRIBE);
    }

    private void changeSubscriptions(
            ResourceType type, List<String> names, SubscriptionChange change) {
        ProxyStream stream = proxyStream;
        for (String text : names) {
            ResourceName name = subscriptionName(type, text);
            if (name != null) { // Names of resources that can't exist are ignored.
                changeSubscription(stream, name, change);
            }
        }
    }

    private void changeSubscription(
            ProxyStream stream, ResourceName name, SubscriptionChange change) {
        Set<ResourceName> subscribed = subscriptions.get(name.type());
        boolean subscribes = change == SubscriptionChange.SUBSCRIBE;
        boolean isChanged = subscribes ? subscribed.add(name) : subscribed.remove(name);
        if (isChanged) {
            awaitAccepted(
                    () ->
                            front.core()
                                    .subscriptionChanged(
                                            stream, name.type(), name.table(), subscribes));
        }
        if (subscribed.size() > MAX_RESOURCE_NAMES) {
            throw Status.RESOURCE_EXHAUSTED
                    .withDescription("more than " + MAX_RESOURCE_NAMES + " names of one type")
                    .asRuntimeException();
        }
    }

    /**
     * Returns the resource to subscribe to; null if no such resource can exist. Clusters are
     * subscribed to by the wildcard only.
     */
    private static ResourceName subscriptionName(ResourceType type, String text) {
        if (text.length() > MAX_NAME_LENGTH) {
            throw Status.INVALID_ARGUMENT
                    .withDescription("a resource name of " + text.length() + " characters")
                    .asRuntimeException();
        }
        if (type == ResourceType.CLUSTER) {
            return text.equals(WILDCARD) ? ResourceName.cluster(0) : null;
        }
        return ResourceEncoder.resourceName(type, text);
    }

    /** Returns the versions that a reconnecting proxy reports; skips names that can't exist. */
    final Map<ResourceName, String> parseVersions(ResourceType type, Map<String, String> reported) {
        if (reported.size() > MAX_INITIAL_VERSIONS) {
            throw Status.RESOURCE_EXHAUSTED
                    .withDescription("initial_resource_versions names " + reported.size())
                    .asRuntimeException();
        }
        Map<ResourceName, String> versionsByName = new HashMap<>();
        reported.forEach(
                (text, version) -> {
                    ResourceName name = ResourceEncoder.resourceName(type, text);
                    if (name != null) {
                        versionsByName.put(name, version);
                    }
                });
        return versionsByName;
    }

    /**
     * Reports to the core that a response was acknowledged or rejected.
     *
     * @param rejection reason of the rejection; empty if the response was acknowledged
     */
    final void reportUpdateResult(ProxyStream stream, String nonce, Optional<String> rejection) {
        long updateId = parseNonce(nonce);
        awaitAccepted(
                () -> front.core().updateResultReceived(stream, updateId, rejection.orElse(null)));
    }

    static long parseNonce(String nonce) {
        try {
            return Long.parseLong(nonce);
        } catch (NumberFormatException e) {
            return INVALID_NONCE;
        }
    }

    static ResourceType resourceTypeOf(String typeUrl) {
        ResourceType resourceType = ResourceEncoder.resourceType(typeUrl);
        if (resourceType == null) {
            String shown = typeUrl.substring(0, Math.min(typeUrl.length(), MAX_NAME_LENGTH));
            throw Status.INVALID_ARGUMENT
                    .withDescription("type_url: \"" + shown + "\" is not served")
                    .asRuntimeException();
        }
        return resourceType;
    }

    final ControlPlane.Builder controlPlane(long epoch) {
        return ControlPlane.newBuilder().setIdentifier(front.identifier(epoch));
    }

    /** Returns a resource's encoding. Proxies on one table share entries: each is encoded once. */
    final Resource encodedResource(RoutingResource resource, ResourceNaming naming) {
        return resource.encoded(
                variant.encodingIndex(),
                unencoded ->
                        Resource.newBuilder()
                                .setName(ResourceEncoder.resourceName(unencoded.name()))
                                .setVersion(unencoded.version())
                                .setResource(ResourceEncoder.encode(unencoded, variant, naming))
                                .build());
    }

    /** Writes an update as soon as the transport accepts it. Called on the writer thread. */
    final void enqueue(ResourceUpdate update, ResourceNaming naming) {
        if (closed || responses.isCancelled()) {
            return;
        }
        pendingUpdates.add(update);
        writePending(naming);
    }

    /**
     * Writes the pending updates while the transport accepts them. The lease is checked before each
     * write: a governor that was paused detects here that its lease has expired, and writes nothing
     * more.
     */
    private void writePending(ResourceNaming naming) {
        while (!pendingUpdates.isEmpty()
                && !closed
                && !responses.isCancelled()
                && responses.isReady()) {
            ResourceUpdate next = pendingUpdates.poll();
            ProxyStream.Lease lease = next.stream.lease();
            if (!lease.isValidAt(EventLoop.nowMillis())) {
                front.leaseExpired(next);
                closeWith(
                        Status.UNAVAILABLE.withDescription(
                                "this governor may no longer write to it"));
                return;
            }
            R response = encodeResponse(next, lease.epoch(), naming);
            responses.onNext(response);
            front.updateWritten(next, response.getSerializedSize());
        }
    }

    private void closeWith(Status status) {
        if (!closed) {
            closed = true;
            pendingUpdates.clear();
            responses.onError(status.asRuntimeException());
        }
        reportClosed(); // Reported last, since nothing is written on the stream from here on.
    }

    /** Ends the stream with a status, after the tasks that the writer thread already has. */
    final void terminate(Status status) {
        if (!front.submitWrite(proxyId, () -> closeWith(status))) {
            reportClosed();
        }
    }
}
