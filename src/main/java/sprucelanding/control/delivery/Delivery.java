package sprucelanding.control.delivery;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What each proxy is sent, and when. Orders touch names; a name touched again before it was sent
 * goes once, in its newest version. A proxy has one unanswered message of a kind, and one more of
 * lines that must go at once. What it holds is known from its acknowledgements and from what it
 * says when it dials; after a break in mid-update only the differences go. Called from one thread:
 * clock, then what happened, then decide until it says false.
 */
public final class Delivery {
    private static final int MAX_NAMES_PER_UPDATE = 1000;
    private static final double ORDINARY_MESSAGE_SHARE =
            0.75; // of a cap on messages; the rest is for what must go
    private static final double ORDINARY_QUEUE_SHARE =
            0.95; // of what may wait in the channel; the rest is for what must go
    private static final double URGENT_QUEUE_SHARE = 0.99;
    private static final double REMOVAL_TIMEOUT_SHARE = 0.6;
    private static final String PRESENT_VERSION =
            "1"; // content of a cluster, and of endpoints whose lines come one by one

    private final int maxMessagesPerWindow;
    private final double windowMillis;
    private final double behindAfterMillis;
    private final double answerTimeoutMillis;
    private final double removalGraceMillis;
    private final ResourceCatalog catalog = new ResourceCatalog();
    private final Map<Integer, ProxyStream> streamsByProxy = new TreeMap<>();

    /** Proxies that may have something to send, urgent ones first. */
    private final LinkedHashSet<ProxyStream> urgentStreams = new LinkedHashSet<>();

    private final LinkedHashSet<ProxyStream> readyStreams = new LinkedHashSet<>();

    /** Waiting for their cap's span to pass. */
    private final Set<ProxyStream> rateLimitedStreams = new LinkedHashSet<>();

    private final Set<ProxyStream> changedStreams = new LinkedHashSet<>();
    private final ArrayDeque<Runnable> pendingActions = new ArrayDeque<>();
    private double now;
    private double entriesPerMilli;
    private double messageOverhead;
    private double maxQueuedEntries = Double.POSITIVE_INFINITY;

    /** Lines that wait in the channel, if it is as slow as stated. */
    private double queuedEntries;

    private long lastOrderStamp;
    private long lastUpdateId;
    private int unansweredEntries;
    private int maxUnansweredEntries;

    /**
     * @param messagesMost messages to one proxy within the span; 0: no limit
     * @param span ms
     * @param leftBehind ms without an answer after which a proxy counts as behind
     * @param patience ms without an answer after which its stream is cut
     * @param grace ms within which removals must be in force: a proxy that answers none for most of
     *     it is cut
     */
    public Delivery(
            int maxMessagesPerWindow,
            double windowMillis,
            double behindAfterMillis,
            double answerTimeoutMillis,
            double removalGraceMillis) {
        this.removalGraceMillis = removalGraceMillis;
        this.maxMessagesPerWindow = maxMessagesPerWindow;
        this.windowMillis = windowMillis;
        this.behindAfterMillis = behindAfterMillis;
        this.answerTimeoutMillis = answerTimeoutMillis;
    }

    /**
     * The channel's limit, which proxies together may not pass: ordinary messages wait once most of
     * it is taken. Choice orders within it, but a front may need more messages for a moment's
     * orders than it counts, and each has a head.
     *
     * @param pace lines a ms that the channel carries
     * @param head lines that a message costs beside its own
     * @param most lines that may wait
     */
    public void setChannelLimits(
            double entriesPerMilli, double messageOverhead, double maxQueuedEntries) {
        this.entriesPerMilli = entriesPerMilli;
        this.messageOverhead = messageOverhead;
        this.maxQueuedEntries = maxQueuedEntries;
    }

    public void setTime(double now) {
        queuedEntries = Math.max(0, queuedEntries - (now - this.now) * entriesPerMilli);
        this.now = now;
        rateLimitedStreams.removeIf(
                stream -> {
                    boolean hasRoom =
                            stream.closed || messagesInWindow(stream) < messageLimit(false);
                    if (hasRoom) {
                        readyStreams.add(stream);
                    }
                    return hasRoom;
                });
    }

    // What proxies did.

    /**
     * A stream was let in. What it holds was told by holds; a former stream of the same proxy is
     * over.
     */
    public void streamAdmitted(ProxyStream stream) {
        proxyDisconnected(stream.proxyId);
        streamsByProxy.put(stream.proxyId, stream);
        stream.admitted = true;
        readyStreams.add(stream);
    }

    /**
     * The proxy says that it holds a name, written by whatever governor. What is withdrawn
     * meanwhile drains there.
     */
    public void heldVersionReported(ProxyStream stream, ResourceName name, String version) {
        stream.acknowledgedVersions.put(name, version);
        if (name.type() == ResourceType.LINE
                && catalog.ejectedEndpoints.contains(name.endpointId())) {
            enqueue(stream, name);
            stream.urgent = true;
            urgentStreams.add(stream);
        }
    }

    public void proxyDisconnected(int proxyId) {
        ProxyStream stream = streamsByProxy.remove(proxyId);
        if (stream != null) {
            stream.closed = true;
            stream.unansweredUpdates
                    .values()
                    .forEach(update -> unansweredEntries -= update.entryCount());
            urgentStreams.remove(stream);
            readyStreams.remove(stream);
            rateLimitedStreams.remove(stream);
            changedStreams.remove(stream);
        }
    }

    /**
     * Lines sent and not answered, at all proxies; and the most there were since this was last
     * asked.
     */
    public int unansweredEntries() {
        return unansweredEntries;
    }

    public int maxUnansweredEntries() {
        int maximum = maxUnansweredEntries;
        maxUnansweredEntries = unansweredEntries;
        return maximum;
    }

    /** It asks for names of this kind; for clusters and the route the table does not matter. */
    public void subscribed(ProxyStream stream, ResourceType type, int table) {
        switch (type) {
            case CLUSTER -> stream.subscribedToClusters = true;
            case ENDPOINTS -> stream.subscribedEndpointTables.add(table);
            case LINE -> stream.subscribedEntryTables.add(table);
            case ROUTE -> stream.subscribedToRoute = true;
        }
        if (type == ResourceType.LINE && stream.incremental) {
            enqueueTable(stream, table);
        }
        if (type == ResourceType.ENDPOINTS && !stream.incremental) {
            enqueue(stream, ResourceName.endpoints(table));
        }
        readyStreams.add(stream);
    }

    public void unsubscribed(ProxyStream stream, ResourceType type, int table) {
        switch (type) {
            case CLUSTER -> stream.subscribedToClusters = false;
            case ENDPOINTS -> stream.subscribedEndpointTables.remove(table);
            case LINE -> stream.subscribedEntryTables.remove(table);
            case ROUTE -> stream.subscribedToRoute = false;
        }
        if (type == ResourceType.LINE || type == ResourceType.ENDPOINTS) {
            stream.acknowledgedVersions
                    .keySet()
                    .removeIf(name -> name.type() == type && name.table() == table);
        }
    }

    /** The message that an answer is to, no longer under way; null if there is none. */
    private ResourceUpdate takeUnanswered(ProxyStream stream, long updateId) {
        ResourceUpdate update = stream.closed ? null : stream.unansweredUpdates.remove(updateId);
        if (update != null) {
            unansweredEntries -= update.entryCount();
            stream.behind &= !stream.unansweredUpdates.isEmpty();
        }
        return update;
    }

    /**
     * A message was accepted. Numbers that are not under way, of former streams say, are left
     * alone.
     */
    public void updateAccepted(ProxyStream stream, long updateId) {
        ResourceUpdate update = takeUnanswered(stream, updateId);
        if (update == null) {
            return;
        }
        stream.maxNamesPerUpdate =
                stream.maxNamesPerUpdate < MAX_NAMES_PER_UPDATE
                        ? Math.min(MAX_NAMES_PER_UPDATE, stream.maxNamesPerUpdate * 4)
                        : stream.maxNamesPerUpdate;
        if (update.fullState) {
            Set<ResourceName> currentNames = resourceNames(update);
            stream.acknowledgedVersions
                    .keySet()
                    .removeIf(
                            heldName ->
                                    heldName.type() == update.type
                                            && !currentNames.contains(heldName));
        }
        for (RoutingResource resource : update.resources) {
            stream.acknowledgedVersions.put(resource.name(), resource.version());
        }
        if (!stream.rejectedVersions.isEmpty()) {
            update.resources.forEach(resource -> stream.rejectedVersions.remove(resource.name()));
        }
        for (ResourceName name : update.removedNames) {
            forgetResource(stream, name);
        }
        if (update.type == null
                || update.type == ResourceType.ROUTE
                || update.type == ResourceType.CLUSTER) {
            removeUnusedClusters(stream);
        }
        reportAcknowledgements(stream);
        readyStreams.add(stream);
    }

    /**
     * A message was rejected: the proxy goes on with what it held. A message of several names is
     * halved, so that one bad line does not hold up removals beside it; a name alone is not sent
     * again until its version changes.
     */
    public void updateRejected(ProxyStream stream, long updateId, String reason) {
        ResourceUpdate update = takeUnanswered(stream, updateId);
        if (update == null) {
            return;
        }
        if (update.orderStampByName.size() > 1 && !update.fullState) {
            stream.maxNamesPerUpdate = Math.max(1, update.orderStampByName.size() / 2);
            update.orderStampByName.forEach(
                    (name, orderStamp) ->
                            stream.pendingByType
                                    .get(name.type())
                                    .merge(name, orderStamp, Math::min));
            stream.urgent |= update.hasRemovals();
        } else {
            update.resources.forEach(
                    resource -> stream.rejectedVersions.put(resource.name(), resource.version()));
            update.removedNames.forEach(name -> stream.rejectedVersions.put(name, ""));
            String shortReason = reason.length() > 200 ? reason.substring(0, 200) : reason;
            pendingActions.add(
                    () ->
                            actions.log(
                                    "refused by a proxy",
                                    "proxy",
                                    stream.proxyId,
                                    "kind",
                                    update.type,
                                    "names",
                                    update.orderStampByName.keySet(),
                                    "why",
                                    shortReason));
        }
        reportAcknowledgements(stream);
        (stream.urgent ? urgentStreams : readyStreams).add(stream);
    }

    // What was ordered.

    /**
     * All that the proxy holds was read: what others have changed is put right, what nobody here
     * wrote is taken away.
     */
    public void fullStateRead(ProxyStream stream, Map<ResourceName, String> versions) {
        if (stream.closed) {
            return;
        }
        Set<ResourceName> names = new LinkedHashSet<>(stream.acknowledgedVersions.keySet());
        names.addAll(versions.keySet());
        stream.acknowledgedVersions.clear();
        stream.acknowledgedVersions.putAll(versions);
        names.forEach(name -> enqueue(stream, name));
        removeUnusedClusters(stream);
    }

    /** Sets a line; a weight that is not above 0 removes it. */
    public void setEntry(int table, long endpointId, double weight) {
        ResourceName entryName = ResourceName.entry(table, endpointId);
        RoutingResource previous =
                catalog.setEntry(
                        entryName,
                        weight > 0 ? (int) Math.max(1, Math.min(1 << 20, Math.rint(weight))) : 0);
        boolean removed = weight <= 0 && previous != null;
        ResourceName tableName = ResourceName.endpoints(table);
        for (ProxyStream stream : streamsByProxy.values()) {
            if (usesTable(stream, table)) {
                markChanged(stream, stream.incremental ? entryName : tableName, removed);
            }
        }
    }

    public void clearTable(int table) {
        List<ResourceName> entryNames = List.copyOf(catalog.table(table).entries.keySet());
        catalog.clearTable(table);
        for (ProxyStream stream : streamsByProxy.values()) {
            if (usesTable(stream, table)) {
                entryNames.forEach(
                        entryName ->
                                markChanged(
                                        stream,
                                        stream.incremental
                                                ? entryName
                                                : ResourceName.endpoints(table),
                                        false));
            }
        }
    }

    /** Wherever a proxy holds the replica, whoever wrote that: it drains, or serves again. */
    public void setEjected(long endpointId, boolean ejected) {
        catalog.setEjected(endpointId, ejected);
        for (ProxyStream stream : streamsByProxy.values()) {
            if (stream.incremental) {
                List<ResourceName> entryNames =
                        stream.acknowledgedVersions.keySet().stream()
                                .filter(
                                        name ->
                                                name.type() == ResourceType.LINE
                                                        && name.endpointId() == endpointId)
                                .toList();
                entryNames.forEach(name -> markChanged(stream, name, ejected));
                boundTables(stream).stream()
                        .filter(
                                table ->
                                        catalog.table(table)
                                                .entries
                                                .containsKey(ResourceName.entry(table, endpointId)))
                        .forEach(
                                table ->
                                        markChanged(
                                                stream,
                                                ResourceName.entry(table, endpointId),
                                                ejected));
            } else {
                // The whole state has no line alone: the table goes again, and for one not bound
                // yet ours goes early.
                stream.subscribedEndpointTables.forEach(
                        table -> markChanged(stream, ResourceName.endpoints(table), ejected));
            }
        }
    }

    public void setAdmissionLevel(
            int table, int requestClass, double admittedLevel, int retryMode) {
        catalog.table(table)
                .admissionByClass
                .put(requestClass, new double[] {admittedLevel, retryMode});
        for (ProxyStream stream : streamsByProxy.values()) {
            if (stream.tableByClass.getOrDefault(requestClass, -1) == table) {
                markChanged(stream, ResourceName.ROUTE, false);
            }
        }
    }

    public void bind(int proxyId, int table, Iterable<Integer> requestClasses) {
        ProxyStream stream = streamsByProxy.get(proxyId);
        if (stream == null) {
            return;
        }
        requestClasses.forEach(requestClass -> stream.tableByClass.put(requestClass, table));
        markChanged(stream, ResourceName.cluster(table), false);
        markChanged(stream, ResourceName.endpoints(table), false);
        enqueueTable(stream, table);
        markChanged(stream, ResourceName.ROUTE, false);
    }

    /**
     * The orders of this moment carry a receipt: each proxy they reach says by the number when they
     * are in force.
     */
    public void requestAcknowledgement(int serial) {
        for (ProxyStream stream : changedStreams) {
            stream.acknowledgementRequests.add(new long[] {serial, lastOrderStamp});
        }
    }

    /** The end of a moment: what was ordered in it may go. */
    public void batchEnded() {
        for (ProxyStream stream : changedStreams) {
            (stream.urgent ? urgentStreams : readyStreams).add(stream);
        }
        changedStreams.clear();
    }

    // What is decided.

    private DeliveryActions actions;

    /** One decision; false if there is none now. */
    public boolean decide(DeliveryActions actions) {
        this.actions = actions;
        Runnable action = pendingActions.poll();
        if (action != null) {
            action.run();
            return true;
        }
        return sendNext(urgentStreams, actions, URGENT_QUEUE_SHARE * maxQueuedEntries)
                || sendNext(readyStreams, actions, ORDINARY_QUEUE_SHARE * maxQueuedEntries);
    }

    private boolean sendNext(
            LinkedHashSet<ProxyStream> streams, DeliveryActions actions, double maxQueued) {
        while (!streams.isEmpty()) {
            ProxyStream stream = streams.iterator().next();
            if (queuedEntries > 0
                    && queuedEntries + messageOverhead + pendingEntries(stream) > maxQueued) {
                return false; // until the channel has drained: it is looked at again with the clock
            }
            ResourceUpdate update = stream.admitted && !stream.closed ? nextUpdate(stream) : null;
            if (update != null) {
                actions.send(update);
                return true;
            }
            streams.remove(stream);
        }
        return false;
    }

    /** Lines that a proxy may have to be sent; of a table that goes whole, all. */
    private int pendingEntries(ProxyStream stream) {
        int entries = 0;
        for (Map.Entry<ResourceType, LinkedHashMap<ResourceName, Long>> pendingOfType :
                stream.pendingByType.entrySet()) {
            if (pendingOfType.getKey() == ResourceType.ENDPOINTS && !stream.incremental) {
                for (ResourceName name : pendingOfType.getValue().keySet()) {
                    entries += Math.max(1, catalog.table(name.table()).entries.size());
                }
            } else {
                entries +=
                        pendingOfType.getKey() == ResourceType.ROUTE
                                ? pendingOfType.getValue().size()
                                        * Math.max(1, stream.tableByClass.size())
                                : pendingOfType.getValue().size();
            }
        }
        return entries;
    }

    /** On the host's periodic timer: who is behind, and who has been for too long. */
    public void checkUnanswered() {
        for (ProxyStream stream : List.copyOf(streamsByProxy.values())) {
            double unansweredMillis =
                    stream.unansweredUpdates.isEmpty()
                            ? 0
                            : now - stream.unansweredUpdates.firstEntry().getValue().sentAt;
            // What reads nothing can't be told what to leave; cut off, it dials again and is told
            // at once.
            ResourceUpdate removal =
                    stream.unansweredUpdates.values().stream()
                            .filter(ResourceUpdate::hasRemovals)
                            .findFirst()
                            .orElse(null);
            boolean removalOverdue =
                    removal != null
                            && now - removal.sentAt > REMOVAL_TIMEOUT_SHARE * removalGraceMillis;
            if (unansweredMillis > answerTimeoutMillis || removalOverdue) {
                proxyDisconnected(stream.proxyId);
                pendingActions.add(
                        () ->
                                actions.closeStream(
                                        stream,
                                        (removalOverdue
                                                        ? "a removal unanswered, for "
                                                        : "no answer for ")
                                                + Math.round(unansweredMillis)
                                                + " ms"));
            } else if (unansweredMillis > behindAfterMillis && !stream.behind) {
                stream.behind = true;
                pendingActions.add(
                        () ->
                                actions.log(
                                        "a proxy is behind",
                                        "proxy",
                                        stream.proxyId,
                                        "waits",
                                        Math.round(unansweredMillis),
                                        "unanswered",
                                        stream.unansweredUpdates.size()));
            }
        }
    }

    private ResourceUpdate nextUpdate(ProxyStream stream) {
        boolean urgent = stream.urgent;
        if (messagesInWindow(stream) >= messageLimit(urgent)) {
            rateLimitedStreams.add(stream);
            return null;
        }
        if (stream.transactional) {
            ResourceUpdate update =
                    stream.unansweredUpdates.isEmpty() ? buildTransaction(stream) : null;
            if (update != null) {
                recordSent(stream, update);
            }
            stream.urgent &= update == null && !stream.unansweredUpdates.isEmpty();
            return update;
        }
        for (ResourceType type :
                urgent
                        ? new ResourceType[] {ResourceType.LINE, ResourceType.ENDPOINTS}
                        : ResourceType.values()) {
            long unansweredOfType =
                    stream.unansweredUpdates.values().stream()
                            .filter(update -> update.type == type)
                            .count();
            if (stream.pendingByType.get(type).isEmpty() || unansweredOfType >= (urgent ? 2 : 1)) {
                continue;
            }
            ResourceUpdate update = buildUpdate(stream, type);
            if (update != null) {
                recordSent(stream, update);
                stream.urgent &= type != ResourceType.LINE && type != ResourceType.ENDPOINTS;
                return update;
            }
        }
        stream.urgent = false;
        if (urgent) {
            readyStreams.add(stream);
        }
        return null;
    }

    private void recordSent(ProxyStream stream, ResourceUpdate update) {
        stream.unansweredUpdates.put(update.id, update);
        unansweredEntries += update.entryCount();
        maxUnansweredEntries = Math.max(maxUnansweredEntries, unansweredEntries);
        stream.sendTimes.add(now);
        queuedEntries += messageOverhead + update.entryCount();
    }

    /**
     * All that is owed, in one edit; null if nothing is. What needs what does not matter within it.
     */
    private ResourceUpdate buildTransaction(ProxyStream stream) {
        List<RoutingResource> resources = new ArrayList<>();
        List<ResourceName> removedNames = new ArrayList<>();
        Map<ResourceName, Long> orderStampByName = new LinkedHashMap<>();
        for (ResourceType type : ResourceType.values()) {
            var pending = stream.pendingByType.get(type).entrySet().iterator();
            while (pending.hasNext()
                    && orderStampByName.size()
                            < Math.min(MAX_NAMES_PER_UPDATE, stream.maxNamesPerUpdate)) {
                var pendingName = pending.next();
                ResourceName name = pendingName.getKey();
                RoutingResource resource =
                        type == ResourceType.LINE && usesTable(stream, name.table())
                                ? catalog.desiredEntry(
                                        catalog.table(name.table()),
                                        name,
                                        stream.acknowledgedVersions.containsKey(name))
                                : desiredResource(stream, name);
                pending.remove();
                String version = resource == null ? "" : resource.version();
                if (!version.equals(stream.acknowledgedVersions.getOrDefault(name, ""))
                        && !version.equals(stream.rejectedVersions.get(name))) {
                    orderStampByName.put(name, pendingName.getValue());
                    if (resource == null) {
                        removedNames.add(name);
                    } else {
                        resources.add(resource);
                    }
                }
            }
        }
        if (orderStampByName.isEmpty()) {
            reportAcknowledgements(stream);
            return null;
        }
        return new ResourceUpdate(
                ++lastUpdateId,
                stream,
                null,
                false,
                resources,
                removedNames,
                now,
                orderStampByName);
    }

    /** What is owed of a kind and may go now; null if nothing is. */
    private ResourceUpdate buildUpdate(ProxyStream stream, ResourceType type) {
        LinkedHashMap<ResourceName, Long> pending = stream.pendingByType.get(type);
        int maxNames = Math.min(MAX_NAMES_PER_UPDATE, stream.maxNamesPerUpdate);
        List<RoutingResource> resources = new ArrayList<>(Math.min(maxNames, pending.size()));
        List<ResourceName> removedNames = new ArrayList<>();
        LinkedHashMap<ResourceName, Long> deferred = new LinkedHashMap<>();
        Set<ResourceName> unansweredNames = new HashSet<>();
        if (stream.incremental) {
            stream.unansweredUpdates
                    .values()
                    .forEach(update -> unansweredNames.addAll(update.orderStampByName.keySet()));
        }
        int table = -1;
        ResourceCatalog.TableResources tableResources = null; // of lines of a table that it is on
        boolean subscribed = false;
        boolean endpointsInstalled = false;
        // Most often all that is owed goes: then the names owed become those that the message
        // settles, as they are.
        var iterator = pending.entrySet().iterator();
        while (iterator.hasNext()) {
            var pendingName = iterator.next();
            ResourceName name = pendingName.getKey();
            if (type == ResourceType.LINE && name.table() != table) {
                table = name.table();
                tableResources = usesTable(stream, table) ? catalog.table(table) : null;
                subscribed = stream.subscribedEntryTables.contains(table);
                endpointsInstalled =
                        stream.acknowledgedVersions.containsKey(ResourceName.endpoints(table));
            }
            String heldVersion = stream.acknowledgedVersions.get(name);
            boolean sendable =
                    type == ResourceType.LINE
                            ? subscribed && (endpointsInstalled || heldVersion != null)
                            : isSendable(stream, name);
            if (!sendable
                    || resources.size() + removedNames.size() >= maxNames
                    || unansweredNames.contains(name)) {
                deferred.put(name, pendingName.getValue());
                iterator.remove();
                continue;
            }
            RoutingResource resource =
                    type == ResourceType.LINE && tableResources != null
                            ? catalog.desiredEntry(tableResources, name, heldVersion != null)
                            : desiredResource(stream, name);
            String version = resource == null ? null : resource.version();
            boolean unchanged = version == null ? heldVersion == null : version.equals(heldVersion);
            boolean rejected =
                    !stream.rejectedVersions.isEmpty()
                            && (version == null ? "" : version)
                                    .equals(stream.rejectedVersions.get(name));
            if (unchanged || rejected) {
                iterator.remove();
            } else if (resource == null) {
                removedNames.add(name);
            } else {
                resources.add(resource);
            }
        }
        stream.pendingByType.put(type, deferred);
        Map<ResourceName, Long> orderStampByName = pending;
        if (orderStampByName.isEmpty()) {
            reportAcknowledgements(stream);
            return null;
        }
        boolean fullState = !stream.incremental && type == ResourceType.CLUSTER;
        if (fullState) { // names left out of a whole state are gone from it
            resources.clear();
            removedNames.clear();
            requiredClusters(stream)
                    .forEach(
                            clusterTable ->
                                    resources.add(
                                            desiredResource(
                                                    stream, ResourceName.cluster(clusterTable))));
        }
        return new ResourceUpdate(
                ++lastUpdateId,
                stream,
                type,
                fullState,
                resources,
                removedNames,
                now,
                orderStampByName);
    }

    /**
     * Make before break: what a name needs is held first, what uses it is gone first; and it was
     * asked for.
     */
    private boolean isSendable(ProxyStream stream, ResourceName name) {
        int table = name.table();
        return switch (name.type()) {
            case CLUSTER -> stream.subscribedToClusters;
            case ENDPOINTS ->
                    stream.subscribedEndpointTables.contains(table)
                            && (!usesTable(stream, table)
                                    || stream.acknowledgedVersions.containsKey(
                                            ResourceName.cluster(table)));
            case LINE -> throw new IllegalArgumentException("looked at line by line");
            case ROUTE ->
                    stream.subscribedToRoute
                            && boundTables(stream).stream()
                                    .allMatch(boundTable -> isTableInstalled(stream, boundTable));
        };
    }

    /**
     * All of a table is in force at a proxy; one that is on it already need not wait for its newest
     * lines.
     */
    private boolean isTableInstalled(ProxyStream stream, int table) {
        if (!stream.acknowledgedVersions.containsKey(ResourceName.cluster(table))
                || !stream.acknowledgedVersions.containsKey(ResourceName.endpoints(table))) {
            return false;
        }
        return isOnRoute(stream, table)
                || stream.pendingByType.get(ResourceType.LINE).keySet().stream()
                                .noneMatch(name -> name.table() == table)
                        && !stream.hasUnanswered(ResourceType.LINE)
                        && !stream.isUnsettled(ResourceName.endpoints(table));
    }

    private static boolean isOnRoute(ProxyStream stream, int table) {
        String route = stream.acknowledgedVersions.get(ResourceName.ROUTE);
        return route != null && ("," + route).contains(":" + table + ":");
    }

    /** The resource as the proxy should hold it now; null: it should not. */
    private RoutingResource desiredResource(ProxyStream stream, ResourceName name) {
        int tableNumber = name.table();
        switch (name.type()) {
            case CLUSTER:
                return requiredClusters(stream).contains(tableNumber)
                        ? new RoutingResource(name, PRESENT_VERSION, List.of(), List.of())
                        : null;
            case ENDPOINTS:
                if (stream.incremental) {
                    return requiredClusters(stream).contains(tableNumber)
                            ? new RoutingResource(name, PRESENT_VERSION, List.of(), List.of())
                            : null;
                }
                return catalog.fullTable(tableNumber);
            case LINE:
                String version = stream.acknowledgedVersions.get(name);
                if (stream.isBound() || version == null) {
                    return null;
                }
                // Written by another governor, to a proxy that is not bound here yet: only its
                // health is ours.
                boolean ejected = catalog.ejectedEndpoints.contains(name.endpointId());
                return ResourceCatalog.newEntry(name, weightOfVersion(version), ejected);
            default:
                if (!stream.isBound()) {
                    return null;
                }
                List<RoutingResource.RouteRule> rules = new ArrayList<>();
                stream.tableByClass.forEach(
                        (requestClass, boundTable) ->
                                rules.add(catalog.routeRule(requestClass, boundTable)));
                StringBuilder text = new StringBuilder();
                rules.forEach(
                        rule -> text.append(text.isEmpty() ? "" : ",").append(rule.version()));
                return new RoutingResource(name, text.toString(), List.of(), rules);
        }
    }

    /** The weight that a version tells; 1 if it tells none. */
    private static int weightOfVersion(String version) {
        try {
            return Math.max(1, Integer.parseInt(version.substring(1)));
        } catch (NumberFormatException | IndexOutOfBoundsException e) {
            return 1;
        }
    }

    private static boolean usesTable(ProxyStream stream, int table) {
        return stream.tableByClass.containsValue(table);
    }

    private static Set<Integer> boundTables(ProxyStream stream) {
        return new TreeSet<>(stream.tableByClass.values());
    }

    /** Those it is on, and those that its route in force still names. */
    private Set<Integer> requiredClusters(ProxyStream stream) {
        Set<Integer> clusterTables = boundTables(stream);
        boolean routeChanging = stream.isUnsettled(ResourceName.ROUTE) || !stream.isBound();
        stream.acknowledgedVersions.keySet().stream()
                .filter(
                        name ->
                                name.type() == ResourceType.CLUSTER
                                        && (routeChanging || isOnRoute(stream, name.table())))
                .forEach(name -> clusterTables.add(name.table()));
        return clusterTables;
    }

    /** Once a route is in force, clusters that it does not name go. */
    private void removeUnusedClusters(ProxyStream stream) {
        if (stream.isBound() && !stream.isUnsettled(ResourceName.ROUTE)) {
            Set<Integer> requiredTables = requiredClusters(stream);
            List<ResourceName> unusedClusters =
                    stream.acknowledgedVersions.keySet().stream()
                            .filter(
                                    name ->
                                            name.type() == ResourceType.CLUSTER
                                                    && !requiredTables.contains(name.table()))
                            .toList();
            unusedClusters.forEach(name -> enqueue(stream, name));
        }
    }

    private static void forgetResource(ProxyStream stream, ResourceName name) {
        stream.acknowledgedVersions.remove(name);
        if (name.type() == ResourceType.CLUSTER) { // what hung on it is gone with it
            stream.acknowledgedVersions
                    .keySet()
                    .removeIf(
                            dependentName ->
                                    dependentName.type() != ResourceType.ROUTE
                                            && dependentName.table() == name.table());
            stream.pendingByType
                    .values()
                    .forEach(
                            pending ->
                                    pending.keySet()
                                            .removeIf(
                                                    dependentName ->
                                                            dependentName.type()
                                                                            == ResourceType.LINE
                                                                    && dependentName.table()
                                                                            == name.table()));
        }
    }

    /** Owes a table's lines, and the removal of those held that are not in it. */
    private void enqueueTable(ProxyStream stream, int table) {
        if (!stream.incremental) {
            markChanged(stream, ResourceName.endpoints(table), false);
            return;
        }
        if (usesTable(stream, table)) {
            Set<ResourceName> names = new LinkedHashSet<>(catalog.table(table).entries.keySet());
            stream.acknowledgedVersions.keySet().stream()
                    .filter(name -> name.type() == ResourceType.LINE && name.table() == table)
                    .forEach(names::add);
            names.forEach(name -> markChanged(stream, name, false));
        }
    }

    private void markChanged(ProxyStream stream, ResourceName name, boolean urgent) {
        lastOrderStamp++;
        stream.pendingByType.get(name.type()).putIfAbsent(name, lastOrderStamp);
        stream.urgent |= urgent;
        changedStreams.add(stream);
    }

    private void enqueue(ProxyStream stream, ResourceName name) {
        stream.pendingByType.get(name.type()).putIfAbsent(name, ++lastOrderStamp);
        readyStreams.add(stream);
    }

    private void reportAcknowledgements(ProxyStream stream) {
        if (!stream.acknowledgementRequests.isEmpty()) {
            long oldest = stream.oldestUnsettledOrder();
            while (!stream.acknowledgementRequests.isEmpty()
                    && stream.acknowledgementRequests.peek()[1] < oldest) {
                int serial = (int) stream.acknowledgementRequests.poll()[0];
                pendingActions.add(() -> actions.acknowledged(stream, serial));
            }
        }
    }

    private static Set<ResourceName> resourceNames(ResourceUpdate update) {
        Set<ResourceName> names = new HashSet<>();
        update.resources.forEach(resource -> names.add(resource.name()));
        return names;
    }

    private int messagesInWindow(ProxyStream stream) {
        while (!stream.sendTimes.isEmpty() && stream.sendTimes.peek() < now - windowMillis) {
            stream.sendTimes.poll();
        }
        return maxMessagesPerWindow == 0 ? 0 : stream.sendTimes.size();
    }

    private int messageLimit(boolean urgent) {
        return maxMessagesPerWindow == 0
                ? Integer.MAX_VALUE
                : urgent
                        ? maxMessagesPerWindow
                        : Math.max(1, (int) (maxMessagesPerWindow * ORDINARY_MESSAGE_SHARE));
    }
}
