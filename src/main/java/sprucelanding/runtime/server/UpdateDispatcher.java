package sprucelanding.runtime.server;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntPredicate;
import sprucelanding.control.distribution.ProxyUpdate;
import sprucelanding.control.distribution.TableDistributor;

/**
 * A dispatcher of the distributor's updates. It sends each joined proxy its update on the proxy's
 * newest stream. The dispatcher is used on the event loop's thread only.
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

    /** Begins a proxy's stream. Returns the stream that it replaces, or null if there is none. */
    UpdateStream begin(int proxyId, UpdateStream stream) {
        return streamsByProxy.put(proxyId, stream);
    }

    /** Ends a proxy's stream. Returns false if a newer stream of the proxy has begun. */
    boolean end(int proxyId, UpdateStream stream) {
        return streamsByProxy.remove(proxyId, stream);
    }

    /**
     * Sends at most one update to each proxy, with the orders since the last update.
     *
     * @param isHeld matches the numbers of the proxies whose updates are held for now
     */
    void sendUpdates(IntPredicate isHeld) {
        encoder.beginBatch();
        distributor.flush(isHeld, this::send);
        logRejectedEntries();
    }

    /**
     * Sends one update. If the update cannot be written, ends the stream, so that its proxy joins
     * again; the updates of the other proxies are not affected.
     */
    private void send(ProxyUpdate update) {
        UpdateStream stream = streamsByProxy.get(update.proxyId());
        if (stream == null) {
            return;
        }
        try {
            stream.write(encoder.encode(update), update.acknowledgementId());
        } catch (RuntimeException e) { // any fault concerns this update only
            eventLog.logFailure(
                    new LogLine(ServerEvent.UPDATE_FAILED).with("proxy", update.proxyId()), e);
            stream.fail("an update could not be written");
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
