package sprucelanding.control.delivery;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeMap;

/**
 * Delivery of routing resources to the proxies: decides which updates each proxy is sent, and when.
 *
 * <p>Orders change resources, which are identified by name. If a resource changes again before it
 * was sent, only its latest version is sent. A proxy has at most one unanswered update per type,
 * and one more for urgent entry updates. The resources that a proxy holds are known from its
 * acknowledgements and from its report when it connects. If a stream breaks during an update, only
 * the differences are sent on the next stream.
 *
 * <p>Called from one thread: {@link #setTime}, then the methods that report events, then {@link
 * #decide} until it returns false. Times are ms on the host's clock.
 */
public final class Delivery {
    private static final int MAX_WEIGHT = 1 << 20;

    private final ResourceCatalog catalog = new ResourceCatalog();
    private final DesiredState desiredState = new DesiredState(catalog);
    private final SendQueue queue = new SendQueue();
    private final ChannelModel channel = new ChannelModel();
    private final DeferredActions deferredActions = new DeferredActions();
    private final AcknowledgementTracker acknowledgements =
            new AcknowledgementTracker(deferredActions);
    private final AnswerHandler answerHandler =
            new AnswerHandler(desiredState, queue, acknowledgements, deferredActions);
    private final Map<Integer, ProxyStream> streamsByProxy = new TreeMap<>();
    private final MessageRateLimit rateLimit;
    private final AnswerTimeoutMonitor answerTimeoutMonitor;
    private final UpdatePlanner planner;
    private double now;

    /**
     * Creates a delivery without proxies or tables.
     *
     * @param maxMessagesPerWindow maximum number of updates to one proxy within the window; 0 for
     *     no limit
     * @param windowMillis length of the window, in ms
     * @param lagThresholdMillis time without an answer after which a proxy is logged as lagging, in
     *     ms
     * @param answerTimeoutMillis time without an answer after which the proxy's stream is closed,
     *     in ms
     * @param removalGraceMillis time within which removals have to be in force, in ms; the stream
     *     of a proxy that does not answer a removal for most of that time is closed
     */
    public Delivery(
            int maxMessagesPerWindow,
            double windowMillis,
            double lagThresholdMillis,
            double answerTimeoutMillis,
            double removalGraceMillis) {
        rateLimit = new MessageRateLimit(maxMessagesPerWindow, windowMillis);
        answerTimeoutMonitor =
                new AnswerTimeoutMonitor(
                        lagThresholdMillis,
                        answerTimeoutMillis,
                        removalGraceMillis,
                        deferredActions);
        planner =
                new UpdatePlanner(
                        queue,
                        channel,
                        rateLimit,
                        desiredState,
                        new UpdateBuilder(catalog, desiredState),
                        acknowledgements);
    }

    /**
     * Sets the limits of the channel that all proxies share. The channel is unlimited until this
     * method is called.
     *
     * @param entriesPerMilli number of entries per ms that the channel carries
     * @param messageOverhead overhead of an update, in entries
     * @param maxQueuedEntries maximum number of entries that may be queued
     */
    public void setChannelLimits(
            double entriesPerMilli, double messageOverhead, double maxQueuedEntries) {
        channel.configure(entriesPerMilli, messageOverhead, maxQueuedEntries);
    }

    /** Sets the current time, which applies to all calls that follow. */
    public void setTime(double now) {
        channel.timeElapsed(now - this.now);
        this.now = now;
        queue.releaseRateLimited(
                stream ->
                        stream.isClosed()
                                || rateLimit.permits(
                                        stream.messageWindow(), Urgency.ORDINARY, now));
    }

    // Events of proxies.

    /**
     * Starts sending on a stream. Resources that the proxy holds must have been reported by {@link
     * #initialVersionReported}. An earlier stream of the same proxy is closed.
     */
    public void streamAdmitted(ProxyStream stream) {
        proxyDisconnected(stream.proxyId);
        streamsByProxy.put(stream.proxyId, stream);
        stream.admit();
        queue.addReady(stream);
    }

    /**
     * Handles a proxy's report that it holds a resource, which any governor may have written. If
     * the resource is an entry of an ejected endpoint, the entry is set to draining.
     */
    public void initialVersionReported(ProxyStream stream, ResourceName name, String version) {
        stream.installed().put(name, version);
        if (name.type() == ResourceType.LINE && catalog.isEjected(name.endpointId())) {
            queue.enqueue(stream, name);
            queue.addUrgent(stream);
        }
    }

    /** Handles the end of a proxy's stream; ignored if the proxy is unknown. */
    public void proxyDisconnected(int proxyId) {
        ProxyStream stream = streamsByProxy.remove(proxyId);
        if (stream != null) {
            stream.close();
            acknowledgements.streamClosed(stream);
            queue.remove(stream);
        }
    }

    /** Returns the number of entries that have been sent and not answered, over all proxies. */
    public int unansweredEntries() {
        return acknowledgements.unansweredEntries();
    }

    /**
     * Returns the maximum number of entries that were unanswered at the same time since the last
     * call.
     */
    public int takeMaxUnansweredEntries() {
        return acknowledgements.takeMaxUnansweredEntries();
    }

    /** Adds a subscription of a proxy. The table is ignored for clusters and the route. */
    public void subscribed(ProxyStream stream, ResourceType type, int table) {
        stream.subscriptions().add(type, table);
        if (type == ResourceType.LINE && stream.isIncremental) {
            markTableChanged(stream, table);
        }
        if (type == ResourceType.ENDPOINTS && !stream.isIncremental) {
            queue.enqueue(stream, ResourceName.endpoints(table));
        }
        queue.addReady(stream);
    }

    /**
     * Removes a subscription of a proxy. The proxy discards the entries or endpoints that it held
     * through the subscription.
     */
    public void unsubscribed(ProxyStream stream, ResourceType type, int table) {
        stream.subscriptions().remove(type, table);
        if (type == ResourceType.LINE || type == ResourceType.ENDPOINTS) {
            stream.installed().removeOfTable(type, table);
        }
    }

    /**
     * Handles the acceptance of an update (ACK). Ids of updates that are not awaiting an answer are
     * ignored.
     */
    public void updateAccepted(ProxyStream stream, long updateId) {
        answerHandler.accepted(stream, updateId);
    }

    /**
     * Handles the rejection of an update (NACK): the proxy continues with the resources that it
     * held.
     *
     * <p>After the rejection of an update with several names, the next update has half as many
     * names, so that one invalid entry does not delay removals in the same update. A single name is
     * not sent again until its version changes.
     */
    public void updateRejected(ProxyStream stream, long updateId, String reason) {
        answerHandler.rejected(stream, updateId, reason);
    }

    /**
     * Handles a read of all resources that the proxy holds. Resources that others have changed are
     * corrected, and resources that this governor has not ordered are removed.
     */
    public void fullStateRead(ProxyStream stream, Map<ResourceName, String> versions) {
        answerHandler.fullStateRead(stream, versions);
    }

    // Orders of the controller.

    /**
     * Sets an endpoint's weight in a table. The entry is removed if the weight is not greater than
     * 0.
     */
    public void setEntry(int table, long endpointId, double weight) {
        ResourceName entryName = ResourceName.entry(table, endpointId);
        boolean existed = catalog.table(table).setEntry(entryName, roundedWeight(weight));
        Urgency urgency = weight <= 0 && existed ? Urgency.URGENT : Urgency.ORDINARY;
        for (ProxyStream stream : streamsByProxy.values()) {
            if (stream.isBoundTo(table)) {
                markEntryChanged(stream, entryName, urgency);
            }
        }
    }

    /**
     * Returns the weight as an integer of at least 1, as proxies require; 0 if there is no entry.
     */
    private static int roundedWeight(double weight) {
        return weight > 0 ? (int) Math.max(1, Math.min(MAX_WEIGHT, Math.rint(weight))) : 0;
    }

    /** Removes all entries and admissions of a table. */
    public void clearTable(int table) {
        List<ResourceName> entryNames = List.copyOf(catalog.table(table).entryNames());
        catalog.clearTable(table);
        for (ProxyStream stream : streamsByProxy.values()) {
            if (stream.isBoundTo(table)) {
                entryNames.forEach(
                        entryName -> markEntryChanged(stream, entryName, Urgency.ORDINARY));
            }
        }
    }

    /**
     * Marks an entry as changed. On a state-of-the-world stream, a change of one entry requires the
     * full table to be sent again.
     */
    private void markEntryChanged(ProxyStream stream, ResourceName entryName, Urgency urgency) {
        ResourceName sentName =
                stream.isIncremental ? entryName : ResourceName.endpoints(entryName.table());
        queue.markChanged(stream, sentName, urgency);
    }

    /**
     * Ejects an endpoint from all tables or ends the ejection. Each entry of the endpoint that a
     * proxy holds starts to drain or serves again, regardless of the governor that wrote the entry.
     */
    public void setEjected(long endpointId, boolean ejected) {
        catalog.setEjected(endpointId, ejected);
        Urgency urgency = ejected ? Urgency.URGENT : Urgency.ORDINARY;
        for (ProxyStream stream : streamsByProxy.values()) {
            if (stream.isIncremental) {
                markEndpointChanged(stream, endpointId, urgency);
            } else {
                // A state-of-the-world stream cannot carry a single entry, so the full table is
                // sent again. A proxy that is not bound yet then receives this governor's table
                // earlier than it otherwise would.
                stream.subscriptions()
                        .endpointTables()
                        .forEach(
                                table ->
                                        queue.markChanged(
                                                stream, ResourceName.endpoints(table), urgency));
            }
        }
    }

    private void markEndpointChanged(ProxyStream stream, long endpointId, Urgency urgency) {
        stream.installed()
                .entriesOfEndpoint(endpointId)
                .forEach(name -> queue.markChanged(stream, name, urgency));
        for (int table : stream.boundTables()) {
            ResourceName name = ResourceName.entry(table, endpointId);
            if (catalog.table(table).hasEntry(name)) {
                queue.markChanged(stream, name, urgency);
            }
        }
    }

    /**
     * Sets the admission of a request class on a table.
     *
     * @param admissionLevel admitted share, or requests per second if the site admits by rate
     * @param retryMode which failed requests are retried, as defined by the controller's output
     */
    public void setAdmissionLevel(
            int table, int requestClass, double admissionLevel, int retryMode) {
        catalog.table(table).setAdmission(requestClass, new Admission(admissionLevel, retryMode));
        for (ProxyStream stream : streamsByProxy.values()) {
            if (stream.tableOf(requestClass).equals(OptionalInt.of(table))) {
                queue.markChanged(stream, ResourceName.ROUTE, Urgency.ORDINARY);
            }
        }
    }

    /** Binds request classes of a proxy to a table; ignored if the proxy has no stream. */
    public void bind(int proxyId, int table, Iterable<Integer> requestClasses) {
        ProxyStream stream = streamsByProxy.get(proxyId);
        if (stream == null) {
            return;
        }
        requestClasses.forEach(requestClass -> stream.bind(requestClass, table));
        queue.markChanged(stream, ResourceName.cluster(table), Urgency.ORDINARY);
        queue.markChanged(stream, ResourceName.endpoints(table), Urgency.ORDINARY);
        markTableChanged(stream, table);
        queue.markChanged(stream, ResourceName.ROUTE, Urgency.ORDINARY);
    }

    /**
     * Marks a table's entries as changed, and also the entries that the proxy holds but that the
     * table no longer contains.
     */
    private void markTableChanged(ProxyStream stream, int table) {
        if (!stream.isIncremental) {
            queue.markChanged(stream, ResourceName.endpoints(table), Urgency.ORDINARY);
            return;
        }
        if (stream.isBoundTo(table)) {
            Set<ResourceName> names = new LinkedHashSet<>(catalog.table(table).entryNames());
            names.addAll(stream.installed().entriesOfTable(table));
            names.forEach(name -> queue.markChanged(stream, name, Urgency.ORDINARY));
        }
    }

    /**
     * Requests an acknowledgement from each proxy that the orders of this batch affect, once the
     * orders are in force.
     *
     * @param serial serial number that the acknowledgements carry
     */
    public void requestAcknowledgement(int serial) {
        queue.requestAcknowledgement(serial);
    }

    /** Ends a batch; its orders may be sent from now on. */
    public void batchEnded() {
        queue.batchEnded();
    }

    // Decisions.

    /**
     * Takes one decision and passes it to the actions.
     *
     * @return false if there is no decision to take at present
     */
    public boolean decide(DeliveryActions actions) {
        if (deferredActions.runNext(actions)) {
            return true;
        }
        Optional<ResourceUpdate> update = planner.next(Urgency.URGENT, now);
        if (update.isEmpty()) {
            update = planner.next(Urgency.ORDINARY, now);
        }
        update.ifPresent(actions::send);
        return update.isPresent();
    }

    /**
     * Logs proxies that are lagging and closes streams whose answers are overdue. The host has to
     * call this method periodically.
     */
    public void checkAnswerTimeouts() {
        for (ProxyStream stream : List.copyOf(streamsByProxy.values())) {
            if (answerTimeoutMonitor.closeIfOverdue(stream, now)) {
                proxyDisconnected(stream.proxyId);
            }
        }
    }
}
