package sprucelanding.control.delivery;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Resources that one proxy is known to hold, by the versions that it acknowledged or reported when
 * it connected. Versions that the proxy rejected are kept as well and are not sent again.
 */
final class InstalledResources {
    /** Version that represents an absent resource in version comparisons. */
    static final String ABSENT = "";

    // A hash map is required: its iteration order, by ResourceName.hashCode, determines the order
    // of names on the wire.
    private final Map<ResourceName, String> versions = new HashMap<>();
    private final Map<ResourceName, String> rejectedVersions = new HashMap<>();

    boolean contains(ResourceName name) {
        return versions.containsKey(name);
    }

    /** Returns the version that the proxy holds; null if it does not hold the resource. */
    String version(ResourceName name) {
        return versions.get(name);
    }

    /**
     * Returns the version that the proxy holds; {@link #ABSENT} if it does not hold the resource.
     */
    String versionOrAbsent(ResourceName name) {
        return versions.getOrDefault(name, ABSENT);
    }

    void put(ResourceName name, String version) {
        versions.put(name, version);
    }

    /**
     * Replaces all known versions with the versions that were read.
     *
     * @return the names of the previous and the new resources
     */
    Set<ResourceName> replaceAll(Map<ResourceName, String> versionsRead) {
        Set<ResourceName> names = new LinkedHashSet<>(versions.keySet());
        names.addAll(versionsRead.keySet());
        versions.clear();
        versions.putAll(versionsRead);
        return names;
    }

    /** Discards all resources of a type except the named ones. */
    void retainOfType(ResourceType type, Set<ResourceName> names) {
        versions.keySet().removeIf(name -> name.type() == type && !names.contains(name));
    }

    /** Discards the resources of a type that belong to a table. */
    void removeOfTable(ResourceType type, int table) {
        versions.keySet().removeIf(name -> name.type() == type && name.table() == table);
    }

    /**
     * Discards a removed resource and, if the resource is a cluster, all resources that depend on
     * it.
     */
    void remove(ResourceName name) {
        versions.remove(name);
        if (name.type() == ResourceType.CLUSTER) {
            versions.keySet()
                    .removeIf(
                            dependent ->
                                    dependent.type() != ResourceType.ROUTE
                                            && dependent.table() == name.table());
        }
    }

    /** Returns the names of all clusters that the proxy holds. */
    List<ResourceName> clusters() {
        return namesOfType(ResourceType.CLUSTER);
    }

    /** Returns the names of a table's entries that the proxy holds. */
    List<ResourceName> entriesOfTable(int table) {
        return versions.keySet().stream()
                .filter(name -> name.type() == ResourceType.LINE && name.table() == table)
                .toList();
    }

    /** Returns the names of an endpoint's entries that the proxy holds, in any table. */
    List<ResourceName> entriesOfEndpoint(long endpointId) {
        return versions.keySet().stream()
                .filter(name -> name.type() == ResourceType.LINE && name.endpointId() == endpointId)
                .toList();
    }

    private List<ResourceName> namesOfType(ResourceType type) {
        return versions.keySet().stream().filter(name -> name.type() == type).toList();
    }

    /** Returns whether the route that the proxy holds sends requests to a table. */
    boolean routeUses(int table) {
        String route = versions.get(ResourceName.ROUTE);
        return route != null && ("," + route).contains(":" + table + ":");
    }

    /**
     * Returns whether the proxy holds a table's cluster and endpoints, on which the table's entries
     * depend.
     */
    boolean hasClusterAndEndpoints(int table) {
        return versions.containsKey(ResourceName.cluster(table))
                && versions.containsKey(ResourceName.endpoints(table));
    }

    /** Records the versions and removals of a rejected update. */
    void reject(ResourceUpdate update) {
        update.resources.forEach(
                resource -> rejectedVersions.put(resource.name(), resource.version()));
        update.removedNames.forEach(name -> rejectedVersions.put(name, ABSENT));
    }

    /** Discards the recorded rejections of resources that were accepted later. */
    void clearRejections(List<RoutingResource> accepted) {
        if (!rejectedVersions.isEmpty()) {
            accepted.forEach(resource -> rejectedVersions.remove(resource.name()));
        }
    }

    /**
     * Returns whether this version of the resource was rejected, or its removal if the version is
     * {@link #ABSENT}.
     */
    boolean isRejected(ResourceName name, String version) {
        return !rejectedVersions.isEmpty() && version.equals(rejectedVersions.get(name));
    }
}
