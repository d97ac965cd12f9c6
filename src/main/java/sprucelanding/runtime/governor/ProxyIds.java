package sprucelanding.runtime.governor;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A small number for each proxy's name, the same for as long as this governor lives. Any thread.
 */
final class ProxyIds {
    private final int maxNames;
    private final Map<String, Integer> idsByName = new HashMap<>();
    private final List<String> namesById = new ArrayList<>();

    ProxyIds(int maxNames) {
        this.maxNames = maxNames;
    }

    /** -1 if there are too many names: a flood of them must not fill the memory. */
    synchronized int idOf(String name) {
        Integer knownId = idsByName.get(name);
        if (knownId == null && namesById.size() >= maxNames) {
            return -1;
        }
        if (knownId == null) {
            knownId = namesById.size();
            idsByName.put(name, knownId);
            namesById.add(name);
        }
        return knownId;
    }

    /** Empty if there is none. */
    synchronized String nameOf(int id) {
        return id >= 0 && id < namesById.size() ? namesById.get(id) : "";
    }
}
