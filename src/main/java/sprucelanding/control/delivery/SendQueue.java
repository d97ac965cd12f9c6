package sprucelanding.control.delivery;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The streams that may have something to send, first come first served, urgent ones apart; and the
 * stamps that number orders. Changes of a batch are held back until the batch has ended.
 */
final class SendQueue {
    private final LinkedHashSet<ProxyStream> urgentStreams = new LinkedHashSet<>();
    private final LinkedHashSet<ProxyStream> readyStreams = new LinkedHashSet<>();

    /** Over their message limit, until the window has moved on. */
    private final Set<ProxyStream> rateLimitedStreams = new LinkedHashSet<>();

    /** Touched by orders of the current batch. */
    private final Set<ProxyStream> changedStreams = new LinkedHashSet<>();

    private long lastOrderStamp;

    /** Notes that an order of the current batch touched a name. */
    void markChanged(ProxyStream stream, ResourceName name, Urgency urgency) {
        lastOrderStamp++;
        stream.pending().add(name, lastOrderStamp);
        if (urgency == Urgency.URGENT) {
            stream.markUrgent();
        }
        changedStreams.add(stream);
    }

    /** Notes that a name has to be looked at, without waiting for the end of a batch. */
    void enqueue(ProxyStream stream, ResourceName name) {
        stream.pending().add(name, ++lastOrderStamp);
        readyStreams.add(stream);
    }

    /** Queues a stream whose removals go ahead of all ordinary changes. */
    void addUrgent(ProxyStream stream) {
        stream.markUrgent();
        urgentStreams.add(stream);
    }

    void addReady(ProxyStream stream) {
        readyStreams.add(stream);
    }

    /** Queues a stream by whether it has urgent changes. */
    void add(ProxyStream stream) {
        (stream.isUrgent() ? urgentStreams : readyStreams).add(stream);
    }

    void addRateLimited(ProxyStream stream) {
        rateLimitedStreams.add(stream);
    }

    /** Makes ready the rate-limited streams that may send again. */
    void releaseRateLimited(Predicate<ProxyStream> hasRoom) {
        rateLimitedStreams.removeIf(
                stream -> {
                    boolean released = hasRoom.test(stream);
                    if (released) {
                        readyStreams.add(stream);
                    }
                    return released;
                });
    }

    /** Asks each stream that the current batch touched to report when all up to now is settled. */
    void requestAcknowledgement(int serial) {
        for (ProxyStream stream : changedStreams) {
            stream.requestAcknowledgement(new AcknowledgementRequest(serial, lastOrderStamp));
        }
    }

    /** The changes of the batch may be sent. */
    void batchEnded() {
        changedStreams.forEach(this::add);
        changedStreams.clear();
    }

    /** The queued streams of an urgency; callers may remove from it. */
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
