package sprucelanding.runtime.governor;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A small number for each proxy's name, the same for as long as this process lives. Safe for use by
 * any thread: the monitor of this object guards its fields.
 */
final class ProxyIds {
    /** What stands for a number where there are too many names. */
    static final int NONE = -1;

    private final int maxNames;
    private final Map<String, Integer> idsByName = new HashMap<>();
    private final List<String> namesById = new ArrayList<>();

    ProxyIds(int maxNames) {
        this.maxNames = maxNames;
    }

    /**
     * The name's number; {@link #NONE} past the limit, for a flood of names must not fill memory.
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

    /** The name of a number; empty if there is none. */
    synchronized String nameOf(int id) {
        return id >= 0 && id < namesById.size() ? namesById.get(id) : "";
    }
}
