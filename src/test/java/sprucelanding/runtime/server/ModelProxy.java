package sprucelanding.runtime.server;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A proxy as the platform's protocol describes it. Tables and ejections are kept when a stream ends
 * and when the proxy joins another governor. An update that the protocol does not allow fails the
 * test.
 */
final class ModelProxy {
    final int id;
    final String zone;
    private final List<String> requestClasses;
    private final Map<String, Map<String, Double>> tablesByClass = new LinkedHashMap<>();
    private final Set<String> ejected = new LinkedHashSet<>();
    private boolean hasOrderedTable;

    ModelProxy(int id, String zone, List<String> requestClasses) {
        this.id = id;
        this.zone = zone;
        this.requestClasses = requestClasses;
        requestClasses.forEach(name -> tablesByClass.put(name, new LinkedHashMap<>()));
    }

    /** Sets an entry of the table that the proxy has before any governor orders one. */
    void setInitialEntry(String requestClass, String uid) {
        tablesByClass.get(requestClass).put(uid, 1.0);
    }

    /** Applies one line of an update. */
    void apply(String line) {
        JsonObject update = Json.parse(line).asObject();
        for (String requestClass : classesOf(update)) {
            Map<String, Double> table = tablesByClass.get(requestClass);
            if (update.getBoolean("full", false)) {
                table.clear();
                hasOrderedTable = true;
            }
            for (JsonValue entry : list(update, "endpoints")) {
                String uid = entry.asArray().get(0).asString();
                double weight = entry.asArray().get(1).asDouble();
                if (!(weight >= 0) || Double.isInfinite(weight)) {
                    throw new AssertionError("weight " + weight + " of " + uid);
                }
                if (weight == 0) {
                    table.remove(uid);
                } else {
                    table.put(uid, weight);
                }
            }
        }
        list(update, "eject").forEach(uid -> ejected.add(uid.asString()));
        list(update, "restore").forEach(uid -> ejected.remove(uid.asString()));
    }

    private List<String> classesOf(JsonObject update) {
        List<String> classes = new ArrayList<>();
        list(update, "routes").forEach(name -> classes.add(name.asString()));
        return update.get("routes") == null ? requestClasses : classes;
    }

    private static Iterable<JsonValue> list(JsonObject update, String field) {
        JsonValue value = update.get(field);
        return value == null ? List.of() : value.asArray();
    }

    /** Returns whether the proxy holds no table that a governor has ordered. */
    boolean isWithoutTables() {
        return !hasOrderedTable;
    }

    Set<String> ejected() {
        return ejected;
    }

    /** Returns the endpoints that requests of the class may be sent to. */
    Set<String> selectable(String requestClass) {
        Set<String> uids = new LinkedHashSet<>(tablesByClass.get(requestClass).keySet());
        uids.removeAll(ejected);
        return uids;
    }
}
