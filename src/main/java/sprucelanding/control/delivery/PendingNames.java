package sprucelanding.control.delivery;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Names that have to be compared with what a proxy holds, in the order in which they were first
 * touched; each with the stamp of the oldest order that touched it.
 */
final class PendingNames {
    private final Map<ResourceType, LinkedHashMap<ResourceName, Long>> stampsByType =
            new EnumMap<>(ResourceType.class);

    PendingNames() {
        for (ResourceType type : ResourceType.values()) {
            stampsByType.put(type, new LinkedHashMap<>());
        }
    }

    /** Adds a name; one that is pending keeps its place and its older stamp. */
    void add(ResourceName name, long orderStamp) {
        stampsByType.get(name.type()).putIfAbsent(name, orderStamp);
    }

    /** Puts back the names of a rejected response, with the older of both stamps. */
    void restore(Map<ResourceName, Long> orderStampByName) {
        orderStampByName.forEach(
                (name, orderStamp) ->
                        stampsByType.get(name.type()).merge(name, orderStamp, Math::min));
    }

    /** The live map of a type: stamps by name. */
    LinkedHashMap<ResourceName, Long> ofType(ResourceType type) {
        return stampsByType.get(type);
    }

    /** Leaves these names pending in place of all of the type. */
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

    /** The oldest order that is pending; {@link Long#MAX_VALUE} if none is. */
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
