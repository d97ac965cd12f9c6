package sprucelanding.control.settings;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import sprucelanding.control.decision.AdmissionMode;
import sprucelanding.control.decision.RequestClass;
import sprucelanding.control.decision.RoutingController;

/**
 * Reads the settings object and creates controllers from it.
 *
 * <p>Unknown keys are ignored and missing ones have defaults. A value of the wrong type is a {@link
 * MalformedInputException}, thrown when the value is asked for. Times are microseconds in the
 * settings and milliseconds here.
 */
public final class SettingsReader {
    private static final double MICROS_PER_MILLI = 1000;
    private static final double MILLIS_PER_SECOND = 1000;

    private final JsonObject root;

    /**
     * Creates a reader of a JSON text.
     *
     * @throws MalformedInputException if it is no JSON object
     */
    public SettingsReader(String text) {
        try {
            root = Json.parse(text).asObject();
        } catch (ParseException | UnsupportedOperationException e) {
            throw new MalformedInputException("settings are no JSON object: " + e.getMessage(), e);
        }
    }

    /** Creates a reader of a parsed settings object. */
    public SettingsReader(JsonObject settings) {
        root = settings;
    }

    /** The names that this list holds, "classes" for example, in its order. */
    public List<String> names(String list) {
        return namesIn(root.get(list));
    }

    /** How many proxies there are; they are numbered from 0. */
    public int proxyCount() {
        return readTyped(() -> section(SettingsKeys.FAMILY).getInt(SettingsKeys.PROXIES, 0));
    }

    /** The least time between two decisions, ms. */
    public double decisionIntervalMillis() {
        return readTyped(() -> millis(root, SettingsKeys.DECISION_INTERVAL, 5000));
    }

    /** How long a connection to an endpoint may take to come up, ms. */
    public double connectTimeoutMillis() {
        return readTyped(
                () -> millis(section(SettingsKeys.LIMITS), SettingsKeys.CONNECT_TIMEOUT, 250_000));
    }

    /** Whether endpoints report their load in responses to health checks. */
    public boolean hasLoadReports() {
        return readTyped(
                () ->
                        !section(SettingsKeys.REPORT)
                                .getString(SettingsKeys.REPORT_METHOD, SettingsKeys.NO_REPORTS)
                                .equals(SettingsKeys.NO_REPORTS));
    }

    /** The load reports' name for the busy share of CPU; empty if they do not hold it. */
    public String loadField() {
        OptionalInt column = loadColumn();
        return column.isEmpty() ? "" : reportFields().get(column.getAsInt());
    }

    /** The position of the busy share of CPU in a row of a load report; empty if it has none. */
    public OptionalInt loadColumn() {
        List<String> fields = reportFields();
        int column = fields.indexOf(SettingsKeys.CPU_SHARE_FIELD);
        if (column < 0) {
            column = fields.indexOf(SettingsKeys.UTILIZATION_FIELD);
        }
        return column < 0 ? OptionalInt.empty() : OptionalInt.of(column);
    }

    /**
     * Creates a controller that is configured by the settings.
     *
     * @param seed of all its random numbers
     * @throws MalformedInputException if the settings name no request class or hold a value of the
     *     wrong type
     */
    public RoutingController newController(long seed) {
        return readTyped(() -> buildController(seed));
    }

    private static <T> T readTyped(Supplier<T> reader) {
        try {
            return reader.get();
        } catch (UnsupportedOperationException | NumberFormatException e) {
            throw new MalformedInputException(
                    "settings hold a value of the wrong type: " + e.getMessage(), e);
        }
    }

    private RoutingController buildController(long seed) {
        JsonObject family = section(SettingsKeys.FAMILY);
        JsonObject contract = section(SettingsKeys.CONTRACT);
        RoutingController controller =
                new RoutingController(
                        new SplittableRandom(seed),
                        requestClasses(family),
                        names(SettingsKeys.ZONES).size(),
                        admissionMode(family));
        configureEndpointList(controller, contract);
        configureChannel(controller, family);
        configureFleet(controller, family, contract);
        configureReports(controller, family);
        return controller;
    }

    private static AdmissionMode admissionMode(JsonObject family) {
        return switch (family.getString(SettingsKeys.ADMISSION_MODE, SettingsKeys.NO_ADMISSION)) {
            case SettingsKeys.ADMISSION_BY_SHARE -> AdmissionMode.SHARE;
            case SettingsKeys.ADMISSION_BY_RATE -> AdmissionMode.RATE;
            default -> AdmissionMode.NONE;
        };
    }

    private void configureEndpointList(RoutingController controller, JsonObject contract) {
        controller.configureEndpointList(
                root.getString(SettingsKeys.ENDPOINT_LIST_MODE, SettingsKeys.LIST_IS_PUSHED)
                        .equals(SettingsKeys.LIST_IS_PUSHED),
                contract.getBoolean(SettingsKeys.SOFT_REMOVAL, false),
                contract.getDouble(SettingsKeys.INITIAL_CAPACITY_SHARE, 0.1),
                millis(contract, SettingsKeys.WARM_UP_TIME, 0));
    }

    private static void configureChannel(RoutingController controller, JsonObject family) {
        controller.configureChannel(
                family.getDouble(SettingsKeys.LINES_PER_SECOND, 1000) / MILLIS_PER_SECOND,
                family.getDouble(SettingsKeys.MESSAGE_OVERHEAD, 0),
                family.getDouble(SettingsKeys.QUEUE_CAPACITY, 1000),
                family.getInt(SettingsKeys.MAX_MESSAGES_PER_SPAN, 0),
                millis(family, SettingsKeys.MESSAGE_SPAN, 10_000_000));
    }

    private void configureFleet(
            RoutingController controller, JsonObject family, JsonObject contract) {
        controller.configureFleet(
                family.getInt(SettingsKeys.PROXIES, 0),
                root.getInt(SettingsKeys.GOVERNORS, 1),
                millis(contract, SettingsKeys.DRAIN_GRACE, 0),
                millis(family, SettingsKeys.MAX_TRANSIT_TIME, 1_000_000));
    }

    private void configureReports(RoutingController controller, JsonObject family) {
        controller.configureReports(
                section(SettingsKeys.LIMITS).getBoolean(SettingsKeys.HEALTH_CHECKS_ALLOWED, false),
                millis(family, SettingsKeys.REPORT_INTERVAL, 1_000_000));
    }

    private RequestClass[] requestClasses(JsonObject family) {
        JsonArray classes = arrayIn(root.get(SettingsKeys.CLASSES));
        if (classes.isEmpty()) {
            throw new MalformedInputException("settings name no classes");
        }
        JsonArray ownZoneOnlyFlags = arrayIn(family.get(SettingsKeys.OWN_ZONE_ONLY));
        RequestClass[] requestClasses = new RequestClass[classes.size()];
        for (int i = 0; i < requestClasses.length; i++) {
            JsonObject requestClass = classes.get(i).asObject();
            boolean ownZoneOnly =
                    i < ownZoneOnlyFlags.size() && ownZoneOnlyFlags.get(i).asBoolean();
            requestClasses[i] = requestClass(i, requestClass, ownZoneOnly);
        }
        return requestClasses;
    }

    private RequestClass requestClass(int index, JsonObject requestClass, boolean ownZoneOnly) {
        boolean idempotent =
                requestClass
                        .getString(SettingsKeys.EFFECT, SettingsKeys.EFFECT_CHANGES_STATE)
                        .equals(SettingsKeys.EFFECT_PURE);
        return new RequestClass(
                index,
                idempotent,
                requestClass.getDouble(SettingsKeys.REVENUE, 1),
                millis(requestClass, SettingsKeys.LATENCY_OBJECTIVE, 1_000_000),
                indexSet(
                        requestClass.get(SettingsKeys.ALLOWED_MACHINE_KINDS),
                        root.get(SettingsKeys.MACHINE_KINDS)),
                indexSet(
                        requestClass.get(SettingsKeys.ALLOWED_ZONES), root.get(SettingsKeys.ZONES)),
                ownZoneOnly);
    }

    /** A list of positions, or of items of the known list, as a set of positions. */
    private static BitSet indexSet(JsonValue allowed, JsonValue known) {
        BitSet indices = new BitSet();
        JsonArray knownItems = arrayIn(known);
        for (JsonValue item : arrayIn(allowed)) {
            if (item.isNumber()) {
                indices.set(item.asInt());
            }
            for (int i = 0; i < knownItems.size(); i++) {
                if (knownItems.get(i).equals(item)) {
                    indices.set(i);
                }
            }
        }
        return indices;
    }

    private List<String> reportFields() {
        return namesIn(section(SettingsKeys.REPORT).get(SettingsKeys.REPORT_FIELDS));
    }

    /** The items of a list, which are names or objects that have one; empty for other items. */
    private static List<String> namesIn(JsonValue list) {
        List<String> names = new ArrayList<>();
        for (JsonValue item : arrayIn(list)) {
            JsonValue name = item.isObject() ? item.asObject().get(SettingsKeys.NAME) : item;
            names.add(name != null && name.isString() ? name.asString() : "");
        }
        return names;
    }

    /** An array; an empty one in place of anything else. */
    private static JsonArray arrayIn(JsonValue value) {
        return value != null && value.isArray() ? value.asArray() : new JsonArray();
    }

    /** A section; an empty one if it is missing or no object. */
    private JsonObject section(String name) {
        JsonValue section = root.get(name);
        return section != null && section.isObject() ? section.asObject() : new JsonObject();
    }

    private static double millis(JsonObject section, String key, double defaultMicros) {
        return section.getDouble(key, defaultMicros) / MICROS_PER_MILLI;
    }
}
