package sprucelanding.control.delivery;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeMap;

/** Responses sent on one stream that the proxy has neither acknowledged nor rejected. */
final class UnansweredUpdates {
    private final TreeMap<Long, ResourceUpdate> updatesById = new TreeMap<>();

    void add(ResourceUpdate update) {
        updatesById.put(update.id, update);
    }

    /** Takes out the response that an answer is for; empty if none of this number is under way. */
    Optional<ResourceUpdate> take(long updateId) {
        return Optional.ofNullable(updatesById.remove(updateId));
    }

    boolean isEmpty() {
        return updatesById.isEmpty();
    }

    int size() {
        return updatesById.size();
    }

    /** Resources in all of them, as channel limits count them. */
    int entryCount() {
        return updatesById.values().stream().mapToInt(ResourceUpdate::entryCount).sum();
    }

    long countOfType(ResourceType type) {
        return updatesById.values().stream().filter(update -> update.type == type).count();
    }

    boolean contains(ResourceName name) {
        return updatesById.values().stream()
                .anyMatch(update -> update.orderStampByName.containsKey(name));
    }

    /** All names that they settle. */
    Set<ResourceName> names() {
        Set<ResourceName> names = new HashSet<>();
        updatesById.values().forEach(update -> names.addAll(update.orderStampByName.keySet()));
        return names;
    }

    /** When the oldest was sent, ms on the host's clock; empty if there is none. */
    OptionalDouble oldestSentAt() {
        return updatesById.isEmpty()
                ? OptionalDouble.empty()
                : OptionalDouble.of(updatesById.firstEntry().getValue().sentAt);
    }

    /** The oldest that takes traffic away from an endpoint. */
    Optional<ResourceUpdate> oldestRemoval() {
        return updatesById.values().stream().filter(ResourceUpdate::hasRemovals).findFirst();
    }

    /** The oldest order that is under way; {@link Long#MAX_VALUE} if none is. */
    long oldestStamp() {
        long oldest = Long.MAX_VALUE;
        for (ResourceUpdate update : updatesById.values()) {
            for (long stamp : update.orderStampByName.values()) {
                oldest = Math.min(oldest, stamp);
            }
        }
        return oldest;
    }
}
