package sprucelanding.runtime.server;

import java.util.HashMap;
import java.util.Map;
import sprucelanding.control.distribution.ProxyUpdate;
import sprucelanding.control.distribution.TableDistributor;

/**
 * Sends each joined proxy what the distributor has for it, on its newest stream. Event loop's
 * thread only.
 */
final class UpdateDispatcher {
    private final TableDistributor distributor;
    private final UpdateEncoder encoder;
    private final EventLog eventLog;
    private final Map<Integer, UpdateStream> streamsByProxy = new HashMap<>();
    private long rejectedEntriesLogged;

    UpdateDispatcher(TableDistributor distributor, UpdateEncoder encoder, EventLog eventLog) {
        this.distributor = distributor;
        this.encoder = encoder;
        this.eventLog = eventLog;
    }

    /** A proxy's stream begins; returns the one that it replaces, or null if there was none. */
    UpdateStream begin(int proxyId, UpdateStream stream) {
        return streamsByProxy.put(proxyId, stream);
    }

    /** A proxy's stream has ended; false if a newer one of the proxy has begun. */
    boolean end(int proxyId, UpdateStream stream) {
        return streamsByProxy.remove(proxyId, stream);
    }

    /** Sends at most one update to each proxy: what was ordered since the last call. */
    void sendUpdates() {
        encoder.beginBatch();
        distributor.flush(this::send);
        logRejectedEntries();
    }

    /**
     * One update that cannot be written ends its own stream, whose proxy then joins anew; the
     * others' updates go out.
     */
    private void send(ProxyUpdate update) {
        UpdateStream stream = streamsByProxy.get(update.proxyId());
        if (stream == null) {
            return;
        }
        try {
            stream.write(encoder.encode(update), update.acknowledgementId());
        } catch (RuntimeException e) { // whatever it is: the fault is one update's
            eventLog.logFailure(
                    new LogLine(ServerEvent.UPDATE_FAILED).with("proxy", update.proxyId()), e);
            stream.fail("an update that cannot be written");
        }
    }

    private void logRejectedEntries() {
        if (distributor.rejectedEntries() > rejectedEntriesLogged) {
            rejectedEntriesLogged = distributor.rejectedEntries();
            eventLog.log(
                    new LogLine(ServerEvent.GUARD_REFUSED_LINE)
                            .with("total", rejectedEntriesLogged));
        }
    }
}
