package sprucelanding.control.delivery;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Handler of the proxies' answers to updates and of complete reads of a proxy's state. An answer is
 * an acceptance (ACK) or a rejection (NACK).
 */
final class AnswerHandler {
    private static final int MAX_LOGGED_REASON_CHARS = 200;

    private final DesiredState desiredState;
    private final SendQueue queue;
    private final AcknowledgementTracker acknowledgements;
    private final DeferredActions deferredActions;

    AnswerHandler(
            DesiredState desiredState,
            SendQueue queue,
            AcknowledgementTracker acknowledgements,
            DeferredActions deferredActions) {
        this.desiredState = desiredState;
        this.queue = queue;
        this.acknowledgements = acknowledgements;
        this.deferredActions = deferredActions;
    }

    /**
     * Handles the acceptance of an update (ACK). Ids of updates that are not awaiting an answer are
     * ignored.
     */
    void accepted(ProxyStream stream, long updateId) {
        Optional<ResourceUpdate> answered = acknowledgements.takeAnswered(stream, updateId);
        if (answered.isEmpty()) {
            return;
        }
        ResourceUpdate update = answered.get();
        UpdateBuilder.growAfterAcceptance(stream);
        recordInstalled(stream, update);
        if (update.isTransaction()
                || update.type == ResourceType.ROUTE
                || update.type == ResourceType.CLUSTER) {
            removeUnusedClusters(stream);
        }
        acknowledgements.reportSettled(stream);
        queue.addReady(stream);
    }

    private static void recordInstalled(ProxyStream stream, ResourceUpdate update) {
        InstalledResources installed = stream.installed();
        if (update.isFullState) {
            Set<ResourceName> names = new HashSet<>();
            update.resources.forEach(resource -> names.add(resource.name()));
            installed.retainOfType(update.type, names);
        }
        update.resources.forEach(resource -> installed.put(resource.name(), resource.version()));
        installed.clearRejections(update.resources);
        for (ResourceName name : update.removedNames) {
            installed.remove(name);
            if (name.type() == ResourceType.CLUSTER) {
                stream.pending().removeEntriesOf(name.table());
            }
        }
    }

    /**
     * Handles the rejection of an update (NACK): the proxy continues with the resources that it
     * held.
     *
     * <p>After the rejection of an update with several names, the next update has half as many
     * names, so that one invalid entry does not delay removals in the same update. A single name is
     * not sent again until its version changes.
     */
    void rejected(ProxyStream stream, long updateId, String reason) {
        Optional<ResourceUpdate> answered = acknowledgements.takeAnswered(stream, updateId);
        if (answered.isEmpty()) {
            return;
        }
        ResourceUpdate update = answered.get();
        int nameCount = update.orderStampByName.size();
        if (nameCount > 1 && !update.isFullState) {
            UpdateBuilder.halveAfterRejection(stream, nameCount);
            stream.pending().restore(update.orderStampByName);
            if (update.hasRemovals()) {
                stream.markUrgent();
            }
        } else {
            stream.installed().reject(update);
            deferredActions.add(host -> logRejection(host, update, reason));
        }
        acknowledgements.reportSettled(stream);
        queue.add(stream);
    }

    private static void logRejection(DeliveryActions host, ResourceUpdate update, String reason) {
        host.log(
                "proxy rejected an update",
                "proxy",
                update.stream.proxyId,
                "kind",
                update.type,
                "names",
                update.orderStampByName.keySet(),
                "why",
                reason.length() > MAX_LOGGED_REASON_CHARS
                        ? reason.substring(0, MAX_LOGGED_REASON_CHARS)
                        : reason);
    }

    /**
     * Handles a read of all resources that the proxy holds. Resources that others have changed are
     * corrected, and resources that this governor has not ordered are removed.
     */
    void fullStateRead(ProxyStream stream, Map<ResourceName, String> versions) {
        if (stream.isClosed()) {
            return;
        }
        stream.installed().replaceAll(versions).forEach(name -> queue.enqueue(stream, name));
        removeUnusedClusters(stream);
    }

    private void removeUnusedClusters(ProxyStream stream) {
        desiredState.unusedClusters(stream).forEach(name -> queue.enqueue(stream, name));
    }
}
