package sprucelanding.control.delivery;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Names of resources whose desired version has to be compared with the version that a proxy holds,
 * in the order in which orders first changed them. Each name has the stamp of the oldest order that
 * changed it.
 */
final class PendingNames {
    private final Map<ResourceType, LinkedHashMap<ResourceName, Long>> stampsByType =
            new EnumMap<>(ResourceType.class);

    PendingNames() {
        for (ResourceType type : ResourceType.values()) {
            stampsByType.put(type, new LinkedHashMap<>());
        }
    }

    /** Adds a name. A name that is already pending keeps its position and its older stamp. */
    void add(ResourceName name, long orderStamp) {
        stampsByType.get(name.type()).putIfAbsent(name, orderStamp);
    }

    /**
     * Adds the names of a rejected update again. A name that is pending keeps the older of the two
     * stamps.
     */
    void restore(Map<ResourceName, Long> orderStampByName) {
        orderStampByName.forEach(
                (name, orderStamp) ->
                        stampsByType.get(name.type()).merge(name, orderStamp, Math::min));
    }

    /** Returns the stamps of a type by name. The returned map is the internal one, not a copy. */
    LinkedHashMap<ResourceName, Long> ofType(ResourceType type) {
        return stampsByType.get(type);
    }

    /** Replaces all pending names of a type. */
    void replace(ResourceType type, LinkedHashMap<ResourceName, Long> names) {
        stampsByType.put(type, names);
    }

    boolean contains(ResourceName name) {
        return stampsByType.get(name.type()).containsKey(name);
    }

    boolean hasEntriesOf(int table) {
        return stampsByType.get(ResourceType.LINE).keySet().stream()
                .anyMatch(name -> name.table() == table);
    }

    void removeEntriesOf(int table) {
        stampsByType.get(ResourceType.LINE).keySet().removeIf(name -> name.table() == table);
    }

    /** Returns the stamp of the oldest pending order; {@link Long#MAX_VALUE} if there is none. */
    long oldestStamp() {
        long oldest = Long.MAX_VALUE;
        for (LinkedHashMap<ResourceName, Long> names : stampsByType.values()) {
            for (long stamp : names.values()) {
                oldest = Math.min(oldest, stamp);
            }
        }
        return oldest;
    }
}
