package sprucelanding.front.netconf;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sprucelanding.control.delivery.ResourceName;
import sprucelanding.front.xml.XmlElement;

/**
 * Reader of the configuration that a device holds for the YANG module sprucelanding-proxy. The
 * versions have the same form as those that the delivery gives its resources, so that equal content
 * has equal versions. Elements that do not conform to the module are skipped.
 */
final class RoutingConfigReader {
    private static final String PRESENT_VERSION = "1";
    private static final String UNREADABLE_VERSION = "unreadable";
    private static final String DRAINING_PREFIX = "d";
    private static final String WEIGHT_PREFIX = "w";
    private static final long MISSING_TABLE = -1;
    private static final long MISSING_ENDPOINT = 0;

    /** Steps per unit to which admission levels are rounded, as in the delivery's versions. */
    private static final double ADMISSION_LEVEL_STEPS = 1e4;

    private static final double MAX_EXPECTED_REQUESTS_PER_SECOND = 1e6;

    private RoutingConfigReader() {}

    /** Returns the requests per second that the proxy expects; 0 if it gives no valid number. */
    static double expectedRequestsPerSecond(XmlElement routing) {
        try {
            double rate = Double.parseDouble(routing.text("txns-per-second"));
            return Math.max(0, Math.min(MAX_EXPECTED_REQUESTS_PER_SECOND, rate));
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /**
     * Returns the versions of the resources that the device holds.
     *
     * @param routing the module's container; null if the device has none
     * @param classNames the request classes in the controller's order
     */
    static Map<ResourceName, String> versions(XmlElement routing, List<String> classNames) {
        Map<ResourceName, String> versions = new LinkedHashMap<>();
        if (routing == null) {
            return versions;
        }
        routing.childrenNamed("table").forEach(table -> addTable(table, versions));
        TreeMap<Integer, String> rulesByClass = new TreeMap<>();
        for (XmlElement requestClass : routing.childrenNamed("product")) {
            int classIndex = classNames.indexOf(requestClass.text("name"));
            rulesByClass.put(classIndex, ruleVersion(classIndex, requestClass));
        }
        if (!rulesByClass.isEmpty()) {
            versions.put(ResourceName.ROUTE, String.join(",", rulesByClass.values()));
        }
        return versions;
    }

    private static void addTable(XmlElement table, Map<ResourceName, String> versions) {
        int number = (int) parseNumber(table.text("number"), MISSING_TABLE);
        if (number < 0) {
            return;
        }
        versions.put(ResourceName.cluster(number), PRESENT_VERSION);
        versions.put(ResourceName.endpoints(number), PRESENT_VERSION);
        for (XmlElement entry : table.childrenNamed("line")) {
            long endpointId = parseNumber(entry.text("replica"), MISSING_ENDPOINT);
            if (endpointId > 0) {
                versions.put(ResourceName.entry(number, endpointId), entryVersion(entry));
            }
        }
    }

    private static String entryVersion(XmlElement entry) {
        boolean isDraining = entry.text("draining").equals("true");
        return (isDraining ? DRAINING_PREFIX : WEIGHT_PREFIX) + entry.text("weight");
    }

    private static String ruleVersion(int classIndex, XmlElement requestClass) {
        int retryMode = RoutingConfigEncoder.RETRY_POLICY_NAMES.indexOf(requestClass.text("retry"));
        try {
            double admittedLevel = Double.parseDouble(requestClass.text("let-in"));
            return classIndex
                    + ":"
                    + parseNumber(requestClass.text("table"), MISSING_TABLE)
                    + ":"
                    + Math.round(admittedLevel * ADMISSION_LEVEL_STEPS)
                    + ":"
                    + retryMode;
        } catch (NumberFormatException e) {
            return UNREADABLE_VERSION; // Differs from every version, so the route is written again.
        }
    }

    private static long parseNumber(String text, long fallback) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            return fallback;
        }
    }
}
