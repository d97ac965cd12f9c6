package sprucelanding.control.settings;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import sprucelanding.control.decision.AdmissionMode;
import sprucelanding.control.decision.RequestClass;
import sprucelanding.control.decision.RoutingController;

/**
 * Reads the settings object and opens a Choice with it; throws Malformed. Unknown keys are left
 * alone.
 */
public final class SettingsReader {
    private static final double MICROS_PER_MILLI = 1000;

    private final JsonObject root;

    public SettingsReader(String text) {
        try {
            root = Json.parse(text).asObject();
        } catch (ParseException | UnsupportedOperationException e) {
            throw new MalformedInputException("settings are no JSON object: " + e.getMessage());
        }
    }

    public SettingsReader(JsonObject settings) {
        root = settings;
    }

    /** The names of this list, "classes" for one, in its order. */
    public List<String> names(String list) {
        return namesIn(root.get(list));
    }

    private static List<String> namesIn(JsonValue list) {
        List<String> names = new ArrayList<>();
        for (JsonValue item : list != null && list.isArray() ? list.asArray() : new JsonArray()) {
            JsonValue name = item.isObject() ? item.asObject().get("name") : item;
            names.add(name != null && name.isString() ? name.asString() : "");
        }
        return names;
    }

    /** How many proxies there are, numbered from 0. */
    public int proxyCount() {
        return readTyped(() -> section("familyInfo").getInt("proxies", 0));
    }

    /** ms that pass between two moments of deciding at least. */
    public double decisionIntervalMillis() {
        return readTyped(() -> millis(root, "tickUs", 5000));
    }

    /** ms that a connection to a replica may take to come up. */
    public double connectTimeoutMillis() {
        return readTyped(() -> millis(section("ceilings"), "connectTimeoutUs", 250_000));
    }

    /** Whether replicas tell their load to probes. */
    public boolean hasLoadReports() {
        return readTyped(() -> !section("report").getString("how", "none").equals("none"));
    }

    /** The report's name for the share of CPU that is busy; empty if reports do not tell it. */
    public String loadField() {
        int column = loadColumn();
        return column < 0 ? "" : reportFields().get(column);
    }

    /** Where that stands in a report's row; -1 if nowhere. */
    public int loadColumn() {
        List<String> names = reportFields();
        int column = names.indexOf("cpu_share");
        return column < 0 ? names.indexOf("util") : column;
    }

    private List<String> reportFields() {
        return namesIn(section("report").get("names"));
    }

    public RoutingController newController(long seed) {
        return readTyped(() -> buildController(seed));
    }

    private static <T> T readTyped(Supplier<T> reader) {
        try {
            return reader.get();
        } catch (UnsupportedOperationException | NumberFormatException e) {
            throw new MalformedInputException(
                    "settings hold a value of the wrong type: " + e.getMessage());
        }
    }

    private RoutingController buildController(long seed) {
        JsonObject family = section("familyInfo");
        JsonObject contract = section("contract");
        JsonObject limits = section("ceilings");
        RoutingController controller =
                new RoutingController(
                        new SplittableRandom(seed),
                        requestClasses(family),
                        names("zones").size(),
                        switch (family.getString("admit", "none")) {
                            case "share" -> AdmissionMode.SHARE;
                            case "rate" -> AdmissionMode.RATE;
                            default -> AdmissionMode.NONE;
                        });
        controller.configureEndpointList(
                root.getString("membershipMode", "pushed").equals("pushed"),
                contract.getBoolean("softRemoval", false),
                contract.getDouble("coldFrom", 0.1),
                millis(contract, "warmAfterUs", 0));
        controller.configureChannel(
                family.getDouble("egressPerS", 1000) / 1000,
                family.getDouble("head", 0),
                family.getDouble("queueCap", 1000),
                family.getInt("updateCap", 0),
                millis(family, "reloadSpanUs", 10_000_000));
        controller.configureFleet(
                family.getInt("proxies", 0),
                root.getInt("balancers", 1),
                millis(contract, "drainGraceUs", 0),
                millis(family, "transitMaxUs", 1_000_000));
        controller.configureReports(
                limits.getBoolean("probes", false), millis(family, "reportEveryUs", 1_000_000));
        return controller;
    }

    private RequestClass[] requestClasses(JsonObject family) {
        JsonValue classes = root.get("classes");
        if (classes == null || !classes.isArray() || classes.asArray().isEmpty()) {
            throw new MalformedInputException("settings name no classes");
        }
        JsonArray classArray = classes.asArray();
        JsonValue homeOnlyFlags = family.get("homeOnly");
        RequestClass[] requestClasses = new RequestClass[classArray.size()];
        for (int i = 0; i < requestClasses.length; i++) {
            JsonObject requestClass = classArray.get(i).asObject();
            boolean homeOnly =
                    homeOnlyFlags != null
                            && homeOnlyFlags.isArray()
                            && i < homeOnlyFlags.asArray().size()
                            && homeOnlyFlags.asArray().get(i).asBoolean();
            requestClasses[i] =
                    new RequestClass(
                            i,
                            requestClass.getString("effect", "side_effect").equals("pure"),
                            requestClass.getDouble("worth", 1),
                            millis(requestClass, "promiseUs", 1_000_000),
                            indexSet(requestClass.get("onlyKinds"), "kinds"),
                            indexSet(requestClass.get("onlyZones"), "zones"),
                            homeOnly);
        }
        return requestClasses;
    }

    /** A list of indices or names as a set of indices; an empty one means all. */
    private BitSet indexSet(JsonValue allowed, String listName) {
        BitSet indices = new BitSet();
        JsonValue known = root.get(listName);
        for (JsonValue item :
                allowed != null && allowed.isArray() ? allowed.asArray() : new JsonArray()) {
            if (item.isNumber()) {
                indices.set(item.asInt());
            }
            for (int i = 0; known != null && known.isArray() && i < known.asArray().size(); i++) {
                if (known.asArray().get(i).equals(item)) {
                    indices.set(i);
                }
            }
        }
        return indices;
    }

    private JsonObject section(String name) {
        JsonValue section = root.get(name);
        return section != null && section.isObject() ? section.asObject() : new JsonObject();
    }

    private static double millis(JsonObject section, String key, double defaultMicros) {
        return section.getDouble(key, defaultMicros) / MICROS_PER_MILLI;
    }
}
