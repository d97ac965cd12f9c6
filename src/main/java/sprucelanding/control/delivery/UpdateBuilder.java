package sprucelanding.control.delivery;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Builder of updates from the names that are pending on a stream. */
final class UpdateBuilder {
    private static final int MAX_NAMES_PER_UPDATE = 1000;

    /** Factor by which the limit on names rises with each acceptance after a rejection. */
    private static final int GROWTH_AFTER_ACCEPTANCE = 4;

    private final ResourceCatalog catalog;
    private final DesiredState desiredState;
    private long lastUpdateId;

    UpdateBuilder(ResourceCatalog catalog, DesiredState desiredState) {
        this.catalog = catalog;
        this.desiredState = desiredState;
    }

    /** Content of an update. */
    private static final class Content {
        private final List<RoutingResource> resources;
        private final List<ResourceName> removedNames = new ArrayList<>();

        Content(int expectedResources) {
            resources = new ArrayList<>(expectedResources);
        }

        int size() {
            return resources.size() + removedNames.size();
        }

        /** Adds the resource, or the removal of the name if the resource is null. */
        void add(ResourceName name, RoutingResource resource) {
            if (resource == null) {
                removedNames.add(name);
            } else {
                resources.add(resource);
            }
        }

        void replaceByFullState(List<RoutingResource> allResources) {
            resources.clear();
            removedNames.clear();
            resources.addAll(allResources);
        }
    }

    /**
     * Properties that all entries of one table at a proxy have in common, looked up once for
     * successive entries of the same table.
     */
    private final class EntryContext {
        private final int table;

        /** Resources of the table; null if the proxy is not bound to the table. */
        private final TableResources boundTable;

        private final boolean isSubscribed;
        private final boolean hasEndpoints;

        EntryContext(ProxyStream stream, int table) {
            this.table = table;
            boundTable = stream.isBoundTo(table) ? catalog.table(table) : null;
            isSubscribed = stream.subscriptions().includesEntries(table);
            hasEndpoints = stream.installed().contains(ResourceName.endpoints(table));
        }

        boolean isSendable(boolean isInstalled) {
            return isSubscribed && (hasEndpoints || isInstalled);
        }

        RoutingResource desiredEntry(ProxyStream stream, ResourceName name, boolean isInstalled) {
            return boundTable == null
                    ? desiredState.resource(stream, name)
                    : catalog.desiredEntry(boundTable, name, isInstalled);
        }
    }

    /**
     * Builds one edit from all pending names; empty if nothing has changed. The order of resources
     * within an edit does not matter.
     */
    Optional<ResourceUpdate> buildTransaction(ProxyStream stream, double now) {
        Content content = new Content(0);
        Map<ResourceName, Long> orderStampByName = new LinkedHashMap<>();
        int maxNames = maxNames(stream);
        for (ResourceType type : ResourceType.values()) {
            var pending = stream.pending().ofType(type).entrySet().iterator();
            while (pending.hasNext() && orderStampByName.size() < maxNames) {
                var pendingName = pending.next();
                ResourceName name = pendingName.getKey();
                RoutingResource resource = desiredState.resource(stream, name);
                pending.remove();
                String version = resource == null ? InstalledResources.ABSENT : resource.version();
                if (!version.equals(stream.installed().versionOrAbsent(name))
                        && !stream.installed().isRejected(name, version)) {
                    orderStampByName.put(name, pendingName.getValue());
                    content.add(name, resource);
                }
            }
        }
        return orderStampByName.isEmpty()
                ? Optional.empty()
                : Optional.of(
                        newUpdate(
                                stream,
                                null,
                                ResourceUpdate.Scope.CHANGES,
                                content,
                                now,
                                orderStampByName));
    }

    /**
     * Builds an update from the pending names of a type that may be sent now; empty if there is
     * none or nothing has changed.
     */
    Optional<ResourceUpdate> build(ProxyStream stream, ResourceType type, double now) {
        LinkedHashMap<ResourceName, Long> pending = stream.pending().ofType(type);
        Content content = new Content(Math.min(maxNames(stream), pending.size()));
        // In most cases all pending names are sent. The map of pending names then becomes the map
        // of names that the update settles, without a copy.
        LinkedHashMap<ResourceName, Long> deferred = select(stream, type, pending, content);
        stream.pending().replace(type, deferred);
        if (pending.isEmpty()) {
            return Optional.empty();
        }
        ResourceUpdate.Scope scope = ResourceUpdate.Scope.CHANGES;
        if (!stream.isIncremental && type == ResourceType.CLUSTER) {
            scope = ResourceUpdate.Scope.FULL_STATE;
            content.replaceByFullState(desiredState.clusters(stream));
        }
        return Optional.of(newUpdate(stream, type, scope, content, now, pending));
    }

    /**
     * Fills the content of an update, and removes from the pending names all names that the update
     * does not settle.
     *
     * @return the names that have to wait
     */
    private LinkedHashMap<ResourceName, Long> select(
            ProxyStream stream,
            ResourceType type,
            LinkedHashMap<ResourceName, Long> pending,
            Content content) {
        LinkedHashMap<ResourceName, Long> deferred = new LinkedHashMap<>();
        Set<ResourceName> unansweredNames =
                stream.isIncremental ? stream.unanswered().names() : Set.of();
        int maxNames = maxNames(stream);
        EntryContext context = null;
        Iterator<Map.Entry<ResourceName, Long>> iterator = pending.entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<ResourceName, Long> pendingName = iterator.next();
            ResourceName name = pendingName.getKey();
            String installedVersion = stream.installed().version(name);
            if (type == ResourceType.LINE && (context == null || name.table() != context.table)) {
                context = new EntryContext(stream, name.table());
            }
            boolean sendable =
                    context == null
                            ? MakeBeforeBreak.isSendable(stream, name)
                            : context.isSendable(installedVersion != null);
            if (!sendable || content.size() >= maxNames || unansweredNames.contains(name)) {
                deferred.put(name, pendingName.getValue());
                iterator.remove();
                continue;
            }
            RoutingResource resource =
                    context == null
                            ? desiredState.resource(stream, name)
                            : context.desiredEntry(stream, name, installedVersion != null);
            if (isUnchanged(resource, installedVersion) || isRejected(stream, name, resource)) {
                iterator.remove();
            } else {
                content.add(name, resource);
            }
        }
        return deferred;
    }

    private static boolean isUnchanged(RoutingResource resource, String installedVersion) {
        return resource == null
                ? installedVersion == null
                : resource.version().equals(installedVersion);
    }

    private static boolean isRejected(
            ProxyStream stream, ResourceName name, RoutingResource resource) {
        String version = resource == null ? InstalledResources.ABSENT : resource.version();
        return stream.installed().isRejected(name, version);
    }

    private ResourceUpdate newUpdate(
            ProxyStream stream,
            ResourceType type,
            ResourceUpdate.Scope scope,
            Content content,
            double now,
            Map<ResourceName, Long> orderStampByName) {
        return new ResourceUpdate(
                ++lastUpdateId,
                stream,
                type,
                scope,
                content.resources,
                content.removedNames,
                now,
                orderStampByName);
    }

    private static int maxNames(ProxyStream stream) {
        return Math.min(MAX_NAMES_PER_UPDATE, stream.maxNamesPerUpdate());
    }

    /**
     * Raises the limit on names per update after an acceptance, if earlier rejections have lowered
     * it.
     */
    static void growAfterAcceptance(ProxyStream stream) {
        if (stream.maxNamesPerUpdate() < MAX_NAMES_PER_UPDATE) {
            stream.limitNamesPerUpdate(
                    Math.min(
                            MAX_NAMES_PER_UPDATE,
                            stream.maxNamesPerUpdate() * GROWTH_AFTER_ACCEPTANCE));
        }
    }

    /** Limits the next update to half as many names as the rejected one. */
    static void halveAfterRejection(ProxyStream stream, int nameCount) {
        stream.limitNamesPerUpdate(Math.max(1, nameCount / 2));
    }
}
