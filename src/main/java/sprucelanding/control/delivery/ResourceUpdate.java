package sprucelanding.control.delivery;

import java.util.List;
import java.util.Map;

/**
 * One response to one proxy. Whole: it names all that the proxy should hold of the kind, and what
 * it leaves out is gone; else it holds changes, and gone lists what is removed.
 */
public final class ResourceUpdate {
    public final long id;
    public final ProxyStream stream;

    /** Null for an edit, which may hold names of all kinds. */
    public final ResourceType type;

    public final boolean fullState;
    public final List<RoutingResource> resources;
    public final List<ResourceName> removedNames;

    /** ms on the host's clock. */
    public final double sentAt;

    /** Names it settles, with the stamp of the oldest order for each. */
    final Map<ResourceName, Long> orderStampByName;

    ResourceUpdate(
            long id,
            ProxyStream stream,
            ResourceType type,
            boolean fullState,
            List<RoutingResource> resources,
            List<ResourceName> removedNames,
            double sentAt,
            Map<ResourceName, Long> orderStampByName) {
        this.id = id;
        this.stream = stream;
        this.type = type;
        this.fullState = fullState;
        this.resources = resources;
        this.removedNames = removedNames;
        this.sentAt = sentAt;
        this.orderStampByName = orderStampByName;
    }

    /**
     * Whether it takes lines away, or lets one drain; of a table sent whole that cannot be told, so
     * it may.
     */
    public boolean hasRemovals() {
        return type == ResourceType.ENDPOINTS && !stream.incremental
                || removedNames.stream().anyMatch(name -> name.type() == ResourceType.LINE)
                || resources.stream()
                        .anyMatch(
                                resource ->
                                        resource.name().type() == ResourceType.LINE
                                                && resource.entries().get(0).draining());
    }

    /** Lines that it changes, as limits count them: a line, a level or a binding each. */
    public int entryCount() {
        int entryCount = removedNames.size();
        for (RoutingResource resource : resources) {
            entryCount += Math.max(1, resource.entries().size() + resource.rules().size());
        }
        return entryCount;
    }
}
