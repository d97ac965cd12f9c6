package sprucelanding.front.netconf;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import sprucelanding.control.delivery.ResourceName;
import sprucelanding.control.delivery.ResourceType;
import sprucelanding.control.delivery.ResourceUpdate;
import sprucelanding.control.delivery.RoutingResource;
import sprucelanding.control.discovery.ListedEndpoint;
import sprucelanding.control.edits.DeviceEditSession;
import sprucelanding.front.xml.XmlElement;
import sprucelanding.runtime.governor.ResourceNaming;

/**
 * Operations in XML on the module sprucelanding-proxy (docs/sprucelanding-proxy.yang), and what a
 * device holds out of it.
 */
public final class OperationEncoder {
    public static final String BASE_NAMESPACE = "urn:ietf:params:xml:ns:netconf:base:1.0";
    public static final String BASE_1_0_CAPABILITY = "urn:ietf:params:netconf:base:1.0";
    public static final String BASE_1_1_CAPABILITY = "urn:ietf:params:netconf:base:1.1";
    public static final String ROUTING_NAMESPACE = "urn:sprucelanding:proxy";
    private static final String CAPABILITY_PREFIX = "urn:ietf:params:netconf:capability:";
    private static final String PRESENT_VERSION = "1";
    private static final List<String> RETRY_POLICY_NAMES = List.of("never", "unrun", "any");

    private OperationEncoder() {}

    public static String hello() {
        return "<hello xmlns=\""
                + BASE_NAMESPACE
                + "\"><capabilities><capability>"
                + BASE_1_0_CAPABILITY
                + "</capability><capability>"
                + BASE_1_1_CAPABILITY
                + "</capability></capabilities></hello>";
    }

    /** What a device's hello says it can do. */
    public static DeviceEditSession.DeviceCapabilities abilities(List<String> capabilities) {
        return new DeviceEditSession.DeviceCapabilities(
                hasCapability(capabilities, "candidate:1.0"),
                hasCapability(capabilities, "confirmed-commit:1.1"),
                hasCapability(capabilities, "validate:1.1"),
                hasCapability(capabilities, "writable-running:1.0"),
                hasCapability(capabilities, "notification:1.0")
                        && hasCapability(capabilities, "interleave:1.0"));
    }

    private static boolean hasCapability(List<String> capabilities, String name) {
        return capabilities.contains(CAPABILITY_PREFIX + name);
    }

    /**
     * One operation as an rpc.
     *
     * @param confirms ms after which the device takes back a commit on trial
     * @param trial names the trial, so that a later session can confirm it
     * @param voice who writes, with its epoch, as an attribute of the rpc (RFC 6241, section 4.1);
     *     empty for none
     */
    public static String rpc(
            long messageId,
            DeviceEditSession.Operation operation,
            ResourceUpdate edit,
            DeviceEditSession.DeviceCapabilities abilities,
            double confirmTimeoutMillis,
            String persistId,
            String writer,
            ResourceNaming naming) {
        String target = abilities.candidate() ? "candidate" : "running";
        String writerAttribute =
                writer.isEmpty()
                        ? ""
                        : " xmlns:sl=\""
                                + ROUTING_NAMESPACE
                                + "\" sl:voice=\""
                                + XmlElement.escape(writer)
                                + "\"";
        return "<rpc message-id=\""
                + messageId
                + "\" xmlns=\""
                + BASE_NAMESPACE
                + "\""
                + writerAttribute
                + ">"
                + switch (operation) {
                    case READ ->
                            "<get-config><source><running/></source><filter type=\"subtree\"><routing xmlns=\""
                                    + ROUTING_NAMESPACE
                                    + "\"/></filter></get-config>";
                    case LOCK -> "<lock><target><" + target + "/></target></lock>";
                    case UNLOCK -> "<unlock><target><" + target + "/></target></unlock>";
                    case EDIT ->
                            "<edit-config><target><"
                                    + target
                                    + "/></target><default-operation>merge</default-operation>"
                                    + "<error-option>rollback-on-error</error-option><config>"
                                    + routingConfig(edit, naming)
                                    + "</config></edit-config>";
                    case VALIDATE -> "<validate><source><candidate/></source></validate>";
                    case TRY_COMMIT ->
                            "<commit><confirmed/><confirm-timeout>"
                                    + (long) Math.ceil(confirmTimeoutMillis / 1000)
                                    + "</confirm-timeout><persist>"
                                    + persistId
                                    + "</persist></commit>";
                    case CONFIRM -> "<commit><persist-id>" + persistId + "</persist-id></commit>";
                    case COMMIT -> "<commit/>";
                    case DISCARD -> "<discard-changes/>";
                    case SUBSCRIBE ->
                            "<create-subscription xmlns=\"urn:ietf:params:xml:ns:netconf:notification:1.0\"/>";
                }
                + "</rpc>";
    }

    /** The changed lines, tables and products of an edit; each with its own operation. */
    static String routingConfig(ResourceUpdate edit, ResourceNaming naming) {
        Map<Integer, StringBuilder> entriesByTable = new TreeMap<>();
        StringBuilder config =
                new StringBuilder(
                        "<routing xmlns=\""
                                + ROUTING_NAMESPACE
                                + "\" xmlns:nc=\""
                                + BASE_NAMESPACE
                                + "\">");
        StringBuilder requestClasses = new StringBuilder();
        for (RoutingResource resource : edit.resources) {
            int table = resource.name().table();
            switch (resource.name().type()) {
                case CLUSTER -> entriesByTable.computeIfAbsent(table, key -> new StringBuilder());
                case LINE ->
                        entriesByTable
                                .computeIfAbsent(table, key -> new StringBuilder())
                                .append(tableEntry(resource, naming));
                case ROUTE ->
                        resource.rules()
                                .forEach(
                                        rule ->
                                                requestClasses
                                                        .append(
                                                                "<product nc:operation=\"replace\"><name>")
                                                        .append(
                                                                XmlElement.escape(
                                                                        naming.requestClassNames()
                                                                                .get(
                                                                                        rule
                                                                                                .requestClass())))
                                                        .append("</name><table>")
                                                        .append(rule.table())
                                                        .append("</table><let-in>")
                                                        .append(
                                                                String.format(
                                                                        Locale.ROOT,
                                                                        "%.4f",
                                                                        rule.admittedLevel()))
                                                        .append("</let-in><retry>")
                                                        .append(
                                                                RETRY_POLICY_NAMES.get(
                                                                        rule.retryMode()))
                                                        .append("</retry></product>"));
                default -> {}
            }
        }
        for (ResourceName name : edit.removedNames) {
            if (name.type() == ResourceType.LINE) {
                entriesByTable
                        .computeIfAbsent(name.table(), key -> new StringBuilder())
                        .append("<line nc:operation=\"remove\"><replica>")
                        .append(name.endpointId())
                        .append("</replica></line>");
            }
        }
        entriesByTable.forEach(
                (table, entries) -> {
                    if (!edit.removedNames.contains(ResourceName.cluster(table))) {
                        config.append("<table><number>")
                                .append(table)
                                .append("</number>")
                                .append(entries)
                                .append("</table>");
                    }
                });
        config.append(requestClasses);
        for (ResourceName name :
                edit.removedNames) { // after what pointed to it: one transaction, but read in this
            // order
            if (name.type() == ResourceType.CLUSTER) {
                config.append("<table nc:operation=\"remove\"><number>")
                        .append(name.table())
                        .append("</number></table>");
            }
        }
        return config.append("</routing>").toString();
    }

    private static String tableEntry(RoutingResource resource, ResourceNaming naming) {
        RoutingResource.EndpointEntry entry = resource.entries().get(0);
        ListedEndpoint endpoint = naming.endpoint(entry.endpointId());
        if (endpoint == null) {
            throw new IllegalStateException("replica " + entry.endpointId() + " was never listed");
        }
        return "<line nc:operation=\"replace\"><replica>"
                + entry.endpointId()
                + "</replica><host>"
                + XmlElement.escape(endpoint.host())
                + "</host><port>"
                + endpoint.port()
                + "</port><weight>"
                + entry.weight()
                + "</weight><draining>"
                + entry.draining()
                + "</draining></line>";
    }

    /**
     * Versions of what a device holds, as Delivery has them; what is not ours to read is left out.
     */
    public static Map<ResourceName, String> heldVersions(
            XmlElement routing, List<String> classNames) {
        Map<ResourceName, String> versions = new LinkedHashMap<>();
        if (routing == null) {
            return versions;
        }
        for (XmlElement tableElement : routing.childrenNamed("table")) {
            int tableNumber = (int) parseNumber(tableElement.text("number"), -1);
            if (tableNumber >= 0) {
                versions.put(ResourceName.cluster(tableNumber), PRESENT_VERSION);
                versions.put(ResourceName.endpoints(tableNumber), PRESENT_VERSION);
                for (XmlElement entryElement : tableElement.childrenNamed("line")) {
                    long endpointId = parseNumber(entryElement.text("replica"), 0);
                    if (endpointId > 0) {
                        versions.put(
                                ResourceName.entry(tableNumber, endpointId),
                                (entryElement.text("draining").equals("true") ? "d" : "w")
                                        + entryElement.text("weight"));
                    }
                }
            }
        }
        TreeMap<Integer, String> rulesByClass = new TreeMap<>();
        for (XmlElement classElement : routing.childrenNamed("product")) {
            int classIndex = classNames.indexOf(classElement.text("name"));
            int retryPolicy = RETRY_POLICY_NAMES.indexOf(classElement.text("retry"));
            try {
                rulesByClass.put(
                        classIndex,
                        classIndex
                                + ":"
                                + parseNumber(classElement.text("table"), -1)
                                + ":"
                                + Math.round(Double.parseDouble(classElement.text("let-in")) * 1e4)
                                + ":"
                                + retryPolicy);
            } catch (NumberFormatException e) {
                rulesByClass.put(classIndex, "unreadable"); // it is written anew
            }
        }
        if (!rulesByClass.isEmpty()) {
            versions.put(ResourceName.ROUTE, String.join(",", rulesByClass.values()));
        }
        return versions;
    }

    private static long parseNumber(String text, long fallback) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            return fallback;
        }
    }
}
