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
 * A reader of the settings object, which also creates controllers from the settings.
 *
 * <p>Unknown keys are ignored and missing keys have defaults. A {@link MalformedInputException} for
 * a value of the wrong type is thrown when the value is read, not by the constructor. The settings
 * hold times in microseconds; the methods return milliseconds.
 */
public final class SettingsReader {
    private static final double MICROS_PER_MILLI = 1000;
    private static final double MILLIS_PER_SECOND = 1000;

    private final JsonObject root;

    /**
     * Creates a reader of settings in JSON.
     *
     * @throws MalformedInputException if the text is not a JSON object
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

    /** Returns the names in a list of the settings, such as "classes", in the list's order. */
    public List<String> names(String listKey) {
        return namesIn(root.get(listKey));
    }

    /** Returns the number of proxies. Proxies are numbered from 0. */
    public int proxyCount() {
        return readTyped(() -> section(SettingsKeys.FLEET).getInt(SettingsKeys.PROXIES, 0));
    }

    /** Returns the minimum time between two decisions, ms. */
    public double decisionIntervalMillis() {
        return readTyped(() -> millis(root, SettingsKeys.DECISION_INTERVAL, 5000));
    }

    /** Returns the timeout for connecting to an endpoint, ms. */
    public double connectTimeoutMillis() {
        return readTyped(
                () -> millis(section(SettingsKeys.LIMITS), SettingsKeys.CONNECT_TIMEOUT, 250_000));
    }

    /** Returns whether endpoints report their load in responses to health checks. */
    public boolean hasLoadReports() {
        return readTyped(
                () ->
                        !section(SettingsKeys.REPORT)
                                .getString(SettingsKeys.REPORT_METHOD, SettingsKeys.NO_REPORTS)
                                .equals(SettingsKeys.NO_REPORTS));
    }

    /** Returns the name of the CPU utilization in load reports; empty if reports do not hold it. */
    public String loadField() {
        OptionalInt column = loadColumn();
        return column.isEmpty() ? "" : reportFields().get(column.getAsInt());
    }

    /**
     * Returns the column of the CPU utilization in load reports; empty if reports do not hold it.
     */
    public OptionalInt loadColumn() {
        List<String> fields = reportFields();
        int column = fields.indexOf(SettingsKeys.CPU_SHARE_FIELD);
        if (column < 0) {
            column = fields.indexOf(SettingsKeys.UTILIZATION_FIELD);
        }
        return column < 0 ? OptionalInt.empty() : OptionalInt.of(column);
    }

    /**
     * Creates a controller with the configuration in the settings.
     *
     * @param seed seed of all random numbers of the controller
     * @throws MalformedInputException if the settings name no request class or have a value of the
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
        JsonObject fleet = section(SettingsKeys.FLEET);
        JsonObject contract = section(SettingsKeys.CONTRACT);
        RoutingController controller =
                new RoutingController(
                        new SplittableRandom(seed),
                        requestClasses(fleet),
                        names(SettingsKeys.ZONES).size(),
                        admissionMode(fleet));
        configureEndpointList(controller, contract);
        configureChannel(controller, fleet);
        configureFleet(controller, fleet, contract);
        configureReports(controller, fleet);
        return controller;
    }

    private static AdmissionMode admissionMode(JsonObject fleet) {
        return switch (fleet.getString(SettingsKeys.ADMISSION_MODE, SettingsKeys.NO_ADMISSION)) {
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
        controller.configureWarmUpLimit(contract.getDouble(SettingsKeys.FALL_MULTIPLE, 0));
    }

    private static void configureChannel(RoutingController controller, JsonObject fleet) {
        controller.configureChannel(
                fleet.getDouble(SettingsKeys.ENTRIES_PER_SECOND, 1000) / MILLIS_PER_SECOND,
                fleet.getDouble(SettingsKeys.MESSAGE_OVERHEAD, 0),
                fleet.getDouble(SettingsKeys.QUEUE_CAPACITY, 1000),
                fleet.getInt(SettingsKeys.MAX_MESSAGES_PER_WINDOW, 0),
                millis(fleet, SettingsKeys.MESSAGE_WINDOW, 10_000_000));
    }

    private void configureFleet(
            RoutingController controller, JsonObject fleet, JsonObject contract) {
        controller.configureFleet(
                fleet.getInt(SettingsKeys.PROXIES, 0),
                root.getInt(SettingsKeys.GOVERNORS, 1),
                millis(contract, SettingsKeys.DRAIN_GRACE, 0),
                millis(fleet, SettingsKeys.MAX_TRANSIT_TIME, 1_000_000));
    }

    private void configureReports(RoutingController controller, JsonObject fleet) {
        controller.configureReports(
                section(SettingsKeys.LIMITS).getBoolean(SettingsKeys.HEALTH_CHECKS_ALLOWED, false),
                millis(fleet, SettingsKeys.REPORT_INTERVAL, 1_000_000));
    }

    private RequestClass[] requestClasses(JsonObject fleet) {
        JsonArray classes = arrayIn(root.get(SettingsKeys.CLASSES));
        if (classes.isEmpty()) {
            throw new MalformedInputException("settings name no classes");
        }
        JsonArray ownZoneOnlyFlags = arrayIn(fleet.get(SettingsKeys.OWN_ZONE_ONLY));
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
        boolean isIdempotent =
                requestClass
                        .getString(SettingsKeys.EFFECT, SettingsKeys.EFFECT_CHANGES_STATE)
                        .equals(SettingsKeys.EFFECT_PURE);
        return new RequestClass(
                index,
                isIdempotent,
                requestClass.getDouble(SettingsKeys.REVENUE, 1),
                millis(requestClass, SettingsKeys.LATENCY_OBJECTIVE, 1_000_000),
                indexSet(
                        requestClass.get(SettingsKeys.ALLOWED_MACHINE_KINDS),
                        root.get(SettingsKeys.MACHINE_KINDS)),
                indexSet(
                        requestClass.get(SettingsKeys.ALLOWED_ZONES), root.get(SettingsKeys.ZONES)),
                ownZoneOnly);
    }

    /** Converts a list of indices, or of items of the list of known items, to a set of indices. */
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

    /** Returns the names in a list of names or of named objects; an empty name for other items. */
    private static List<String> namesIn(JsonValue list) {
        List<String> names = new ArrayList<>();
        for (JsonValue item : arrayIn(list)) {
            JsonValue name = item.isObject() ? item.asObject().get(SettingsKeys.NAME) : item;
            names.add(name != null && name.isString() ? name.asString() : "");
        }
        return names;
    }

    /** Returns a value as an array; an empty array if the value is missing or not an array. */
    private static JsonArray arrayIn(JsonValue value) {
        return value != null && value.isArray() ? value.asArray() : new JsonArray();
    }

    /** Returns a section; an empty object if the section is missing or not an object. */
    private JsonObject section(String name) {
        JsonValue section = root.get(name);
        return section != null && section.isObject() ? section.asObject() : new JsonObject();
    }

    private static double millis(JsonObject section, String key, double defaultMicros) {
        return section.getDouble(key, defaultMicros) / MICROS_PER_MILLI;
    }
}
