package sprucelanding.control.delivery;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Queue of streams that may have something to send, in order of arrival, with a separate queue for
 * urgent streams. It also assigns the stamps that number the orders. Changes of a batch are held
 * back until the batch has ended.
 */
final class SendQueue {
    private final LinkedHashSet<ProxyStream> urgentStreams = new LinkedHashSet<>();
    private final LinkedHashSet<ProxyStream> readyStreams = new LinkedHashSet<>();

    /** Streams that have reached their message limit; they wait until the window has moved on. */
    private final Set<ProxyStream> rateLimitedStreams = new LinkedHashSet<>();

    /** Streams that are affected by orders of the current batch. */
    private final Set<ProxyStream> changedStreams = new LinkedHashSet<>();

    private long lastOrderStamp;

    /** Records that an order of the current batch changed a resource. */
    void markChanged(ProxyStream stream, ResourceName name, Urgency urgency) {
        lastOrderStamp++;
        stream.pending().add(name, lastOrderStamp);
        if (urgency == Urgency.URGENT) {
            stream.markUrgent();
        }
        changedStreams.add(stream);
    }

    /** Records that a resource has to be checked, without waiting for the end of a batch. */
    void enqueue(ProxyStream stream, ResourceName name) {
        stream.pending().add(name, ++lastOrderStamp);
        readyStreams.add(stream);
    }

    /** Queues a stream as urgent: its removals are sent before all ordinary changes. */
    void addUrgent(ProxyStream stream) {
        stream.markUrgent();
        urgentStreams.add(stream);
    }

    void addReady(ProxyStream stream) {
        readyStreams.add(stream);
    }

    /** Queues a stream as urgent or ready, depending on whether it has urgent changes. */
    void add(ProxyStream stream) {
        (stream.isUrgent() ? urgentStreams : readyStreams).add(stream);
    }

    void addRateLimited(ProxyStream stream) {
        rateLimitedStreams.add(stream);
    }

    /** Moves the rate-limited streams that may send again to the ready streams. */
    void releaseRateLimited(Predicate<ProxyStream> isWithinLimit) {
        rateLimitedStreams.removeIf(
                stream -> {
                    boolean released = isWithinLimit.test(stream);
                    if (released) {
                        readyStreams.add(stream);
                    }
                    return released;
                });
    }

    /**
     * Requests an acknowledgement from each stream that the current batch affects, once all orders
     * up to now are settled.
     */
    void requestAcknowledgement(int serial) {
        for (ProxyStream stream : changedStreams) {
            stream.requestAcknowledgement(new AcknowledgementRequest(serial, lastOrderStamp));
        }
    }

    /** Ends the batch; its changes may be sent from now on. */
    void batchEnded() {
        changedStreams.forEach(this::add);
        changedStreams.clear();
    }

    /**
     * Returns the queued streams of an urgency. Callers may remove streams from the returned set.
     */
    LinkedHashSet<ProxyStream> streams(Urgency urgency) {
        return urgency == Urgency.URGENT ? urgentStreams : readyStreams;
    }

    void remove(ProxyStream stream) {
        urgentStreams.remove(stream);
        readyStreams.remove(stream);
        rateLimitedStreams.remove(stream);
        changedStreams.remove(stream);
    }
}
