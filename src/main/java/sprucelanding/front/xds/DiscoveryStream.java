package sprucelanding.front.xds;

import com.google.protobuf.GeneratedMessageV3;
import com.google.protobuf.Value;
import io.envoyproxy.envoy.config.core.v3.Node;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.delivery.ResourceName;
import sprucelanding.control.delivery.ResourceType;
import sprucelanding.control.delivery.ResourceUpdate;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.runtime.governor.CoreHandle;
import sprucelanding.runtime.governor.ResourceNaming;

/**
 * One aggregated stream of a proxy, of either form. The next request is read only once the core has
 * taken the one before, so that a flood waits in the peer's own buffers. What breaks the protocol
 * ends this stream, with the reason, and no other.
 */
abstract class DiscoveryStream<Q, R extends GeneratedMessageV3> implements StreamObserver<Q> {
    static final int MAX_RESOURCE_NAMES = 2000;
    private static final int MAX_NAME_LENGTH = 512;

    final XdsFront front;
    private final ServerCallStreamObserver<R> out;
    final boolean incremental;
    ProxyStream proxyStream;

    /** The proxy's number; 0 until it is known. */
    private volatile int number;

    private boolean started;
    private boolean closed;

    /** Messages that the transport has no room for; on the writing thread. Delivery bounds them. */
    private final ArrayDeque<ResourceUpdate> pendingUpdates = new ArrayDeque<>();

    /** Names asked for, by kind. */
    private final Map<ResourceType, Set<ResourceName>> subscriptions =
            new EnumMap<>(ResourceType.class);

    DiscoveryStream(XdsFront front, StreamObserver<R> out, boolean incremental) {
        this.front = front;
        this.out = (ServerCallStreamObserver<R>) out;
        this.incremental = incremental;
        this.out.disableAutoRequest();
        this.out.setOnCancelHandler(this::reportClosed);
        this.out.setOnReadyHandler(
                () -> { // not before the transport can hand the request on
                    if (!started) {
                        started = true;
                        this.out.request(1);
                    } else {
                        front.submitWrite(number, () -> writePending(front.naming()));
                    }
                });
        for (ResourceType type : ResourceType.values()) {
            subscriptions.put(type, new HashSet<>());
        }
    }

    /** Reads one request; a StatusRuntimeException ends the stream. */
    abstract void onRequest(Q request);

    abstract R encodeResponse(ResourceUpdate update, long epoch, ResourceNaming naming);

    @Override
    public void onNext(Q request) {
        try {
            onRequest(request);
            out.request(1);
        } catch (StatusRuntimeException e) {
            front.streamRejected(proxyStream, e.getStatus());
            terminate(e.getStatus());
        } catch (RuntimeException e) { // a fault of ours: this stream ends, the proxy dials again
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
        front.submitWrite(
                number,
                () -> {
                    if (!closed) {
                        closed = true;
                        out.onCompleted();
                    }
                });
    }

    private void reportClosed() {
        ProxyStream closedStream;
        synchronized (subscriptions) { // from the transport's threads, and from the writing one
            closedStream = proxyStream;
            proxyStream = null;
        }
        if (closedStream != null) {
            awaitAccepted(() -> front.core().proxyDisconnected(closedStream));
        }
    }

    /**
     * Waits until the core has taken it: only this stream's thread, which serves this stream's
     * peers, is held up.
     */
    final void awaitAccepted(BooleanSupplier notification) {
        front.retryUntilAccepted(notification);
    }

    /** The first request says who dialled. */
    final void identifyProxy(Node node, boolean withoutVersions) {
        if (proxyStream != null) {
            return;
        }
        if (node.getId().isEmpty() || node.getId().length() > MAX_NAME_LENGTH) {
            throw Status.INVALID_ARGUMENT
                    .withDescription("node.id: expected 1 to 512 characters")
                    .asRuntimeException();
        }
        int proxyId = front.core().proxyId(node.getId());
        if (proxyId < 0) {
            throw Status.RESOURCE_EXHAUSTED
                    .withDescription("too many proxies")
                    .asRuntimeException();
        }
        number = proxyId;
        proxyStream =
                new ProxyStream(
                        proxyId,
                        incremental ? ProxyStream.UpdateMode.CHANGES : ProxyStream.UpdateMode.WHOLE,
                        this);
        Value expectedRate =
                node.getMetadata().getFieldsOrDefault("txns_per_s", Value.getDefaultInstance());
        double requestsPerSecond =
                expectedRate.getNumberValue() >= 0 && expectedRate.getNumberValue() < 1e6
                        ? expectedRate.getNumberValue()
                        : 0;
        ProxyStream stream = proxyStream;
        awaitAccepted(
                () ->
                        front.core()
                                .proxyConnected(
                                        front,
                                        stream,
                                        node.getLocality().getZone(),
                                        requestsPerSecond,
                                        withoutVersions));
    }

    final void updateSubscriptions(ResourceType type, List<String> names, boolean subscribe) {
        CoreHandle core = front.core();
        ProxyStream stream = proxyStream;
        for (String text : names) {
            if (text.length() > MAX_NAME_LENGTH) {
                throw Status.INVALID_ARGUMENT
                        .withDescription("a resource name of " + text.length() + " characters")
                        .asRuntimeException();
            }
            ResourceName name =
                    text.equals("*") && type == ResourceType.CLUSTER
                            ? ResourceName.cluster(0)
                            : ResourceEncoder.resourceName(type, text);
            if (name == null || type == ResourceType.CLUSTER && !text.equals("*")) {
                continue; // no such resource: nothing is sent for it
            }
            Set<ResourceName> subscribed = subscriptions.get(type);
            if (subscribe ? subscribed.add(name) : subscribed.remove(name)) {
                awaitAccepted(
                        () -> core.subscriptionChanged(stream, type, name.table(), subscribe));
            }
            if (subscribed.size() > MAX_RESOURCE_NAMES) {
                throw Status.RESOURCE_EXHAUSTED
                        .withDescription("more than " + MAX_RESOURCE_NAMES + " names of one type")
                        .asRuntimeException();
            }
        }
    }

    final Set<ResourceName> subscriptions(ResourceType type) {
        return subscriptions.get(type);
    }

    final Map<ResourceName, String> parseVersions(ResourceType type, Map<String, String> reported) {
        if (reported.size() > 10 * MAX_RESOURCE_NAMES) {
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

    static ResourceType resourceTypeOf(String typeUrl) {
        ResourceType resourceType = ResourceEncoder.resourceType(typeUrl);
        if (resourceType == null) {
            throw Status.INVALID_ARGUMENT
                    .withDescription(
                            "type_url: \""
                                    + typeUrl.substring(
                                            0, Math.min(typeUrl.length(), MAX_NAME_LENGTH))
                                    + "\" is not served")
                    .asRuntimeException();
        }
        return resourceType;
    }

    static long number(String nonce) {
        try {
            return Long.parseLong(nonce);
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    /** On the writing thread; how many bytes it was. */
    final void enqueue(ResourceUpdate update, ResourceNaming naming) {
        if (closed || out.isCancelled()) {
            return;
        }
        pendingUpdates.add(update);
        writePending(naming);
    }

    /**
     * Writes what waits, as long as the transport takes it: what it has not taken yet is still
     * looked at again before it leaves. A governor that stood still finds here that its lease has
     * run out; nothing more leaves on this stream then.
     */
    private void writePending(ResourceNaming naming) {
        while (!pendingUpdates.isEmpty() && !closed && !out.isCancelled() && out.isReady()) {
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
            out.onNext(response);
            front.updateWritten(next, response.getSerializedSize());
        }
    }

    private void closeWith(Status status) {
        if (!closed) {
            closed = true;
            pendingUpdates.clear();
            out.onError(status.asRuntimeException());
        }
        reportClosed(); // only now: nothing more is written on it
    }

    final void terminate(Status status) {
        if (!front.submitWrite(number, () -> closeWith(status))) {
            reportClosed();
        }
    }
}
