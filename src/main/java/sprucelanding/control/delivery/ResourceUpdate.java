package sprucelanding.control.delivery;

import java.util.List;
import java.util.Map;

/**
 * Update to one proxy. An update with the full state contains all resources of its type that the
 * proxy should hold, and the proxy removes all others. Other updates contain changed resources and
 * the names of removed resources.
 *
 * <p>Immutable once sent, because the fronts' writer threads read it.
 */
public final class ResourceUpdate {
    /** Scope of an update: only the changed resources of its type, or all resources of its type. */
    enum Scope {
        CHANGES,
        FULL_STATE
    }

    /** Id of the update; used as the nonce on the wire. */
    public final long id;

    /** Stream on which the update is sent. */
    public final ProxyStream stream;

    /** Type of the resources; null for an edit, which may contain names of all types. */
    public final ResourceType type;

    /** Whether the update contains all resources of its type that the proxy should hold. */
    public final boolean isFullState;

    /** Resources that are added or changed. */
    public final List<RoutingResource> resources;

    /** Names of resources that are removed. */
    public final List<ResourceName> removedNames;

    /** Time at which the update was sent, in ms on the host's clock. */
    public final double sentAt;

    /** Names that the update settles, each with the stamp of the oldest order that changed it. */
    final Map<ResourceName, Long> orderStampByName;

    ResourceUpdate(
            long id,
            ProxyStream stream,
            ResourceType type,
            Scope scope,
            List<RoutingResource> resources,
            List<ResourceName> removedNames,
            double sentAt,
            Map<ResourceName, Long> orderStampByName) {
        this.id = id;
        this.stream = stream;
        this.type = type;
        this.isFullState = scope == Scope.FULL_STATE;
        this.resources = resources;
        this.removedNames = removedNames;
        this.sentAt = sentAt;
        this.orderStampByName = orderStampByName;
    }

    /** Returns whether the update is an edit, which may contain names of all types. */
    boolean isTransaction() {
        return type == null;
    }

    /**
     * Returns whether the update removes entries or sets an entry to draining. An update with a
     * full table counts as one that does, because its removals are not known.
     */
    public boolean hasRemovals() {
        return type == ResourceType.ENDPOINTS && !stream.isIncremental
                || removedNames.stream().anyMatch(name -> name.type() == ResourceType.LINE)
                || resources.stream().anyMatch(RoutingResource::isDrainingEntry);
    }

    /**
     * Returns the size of the update for the channel limits. Each entry, admission level and
     * binding counts as 1.
     */
    public int entryCount() {
        int entryCount = removedNames.size();
        for (RoutingResource resource : resources) {
            entryCount += Math.max(1, resource.entries().size() + resource.rules().size());
        }
        return entryCount;
    }
}
