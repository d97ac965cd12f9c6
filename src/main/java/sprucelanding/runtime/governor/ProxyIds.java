package sprucelanding.runtime.governor;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A table of small numbers for the proxies' names, which stay the same until this process ends.
 * Thread-safe: the monitor of this object guards its fields.
 */
final class ProxyIds {
    /** Returned instead of a number if there are too many names. */
    static final int NONE = -1;

    private final int maxNames;
    private final Map<String, Integer> idsByName = new HashMap<>();
    private final List<String> namesById = new ArrayList<>();

    ProxyIds(int maxNames) {
        this.maxNames = maxNames;
    }

    /**
     * Returns the number of a name, which is assigned at the first call. Returns {@link #NONE} for
     * a new name beyond the limit, because a flood of names must not exhaust the memory.
     */
    synchronized int idOf(String name) {
        Integer knownId = idsByName.get(name);
        if (knownId == null && namesById.size() >= maxNames) {
            return NONE;
        }
        if (knownId == null) {
            knownId = namesById.size();
            idsByName.put(name, knownId);
            namesById.add(name);
        }
        return knownId;
    }

    /** Returns the name of a number; empty if the number is not assigned. */
    synchronized String nameOf(int id) {
        return id >= 0 && id < namesById.size() ? namesById.get(id) : "";
    }
}
