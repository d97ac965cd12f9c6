package sprucelanding.control.delivery;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeMap;

/** Updates sent on one stream that the proxy has neither accepted nor rejected. */
final class UnansweredUpdates {
    private final TreeMap<Long, ResourceUpdate> updatesById = new TreeMap<>();

    void add(ResourceUpdate update) {
        updatesById.put(update.id, update);
    }

    /**
     * Removes and returns the update that an answer is for; empty if no unanswered update has this
     * id.
     */
    Optional<ResourceUpdate> take(long updateId) {
        return Optional.ofNullable(updatesById.remove(updateId));
    }

    boolean isEmpty() {
        return updatesById.isEmpty();
    }

    int size() {
        return updatesById.size();
    }

    /** Returns the total size of the updates, as counted by the channel limits. */
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

    /** Returns all names that the updates settle. */
    Set<ResourceName> names() {
        Set<ResourceName> names = new HashSet<>();
        updatesById.values().forEach(update -> names.addAll(update.orderStampByName.keySet()));
        return names;
    }

    /**
     * Returns the time at which the oldest update was sent, in ms on the host's clock; empty if
     * there is none.
     */
    OptionalDouble oldestSentAt() {
        return updatesById.isEmpty()
                ? OptionalDouble.empty()
                : OptionalDouble.of(updatesById.firstEntry().getValue().sentAt);
    }

    /** Returns the oldest update that takes traffic away from an endpoint. */
    Optional<ResourceUpdate> oldestRemoval() {
        return updatesById.values().stream().filter(ResourceUpdate::hasRemovals).findFirst();
    }

    /**
     * Returns the stamp of the oldest order in the updates; {@link Long#MAX_VALUE} if there is
     * none.
     */
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
