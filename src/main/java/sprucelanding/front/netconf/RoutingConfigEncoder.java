package sprucelanding.front.netconf;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import sprucelanding.control.delivery.ResourceName;
import sprucelanding.control.delivery.ResourceType;
import sprucelanding.control.delivery.ResourceUpdate;
import sprucelanding.control.delivery.RoutingResource;
import sprucelanding.control.discovery.ListedEndpoint;
import sprucelanding.front.xml.XmlElement;
import sprucelanding.runtime.governor.ResourceNaming;

/**
 * Encoder of one edit for the YANG module sprucelanding-proxy (docs/sprucelanding-proxy.yang). The
 * edit contains changed and removed entries by table, then request classes, then removed tables.
 * Each of these elements has its own edit operation (RFC 6241, section 7.2).
 */
final class RoutingConfigEncoder {
    /** The module's names of retry policies, indexed by the controller's retry mode. */
    static final List<String> RETRY_POLICY_NAMES = List.of("never", "unrun", "any");

    private final ResourceUpdate edit;
    private final ResourceNaming naming;
    private final Map<Integer, StringBuilder> entriesByTable = new TreeMap<>();
    private final StringBuilder requestClasses = new StringBuilder();

    private RoutingConfigEncoder(ResourceUpdate edit, ResourceNaming naming) {
        this.edit = edit;
        this.naming = naming;
    }

    /**
     * Encodes an edit.
     *
     * @throws IllegalStateException if an entry's endpoint was never listed
     */
    static String encode(ResourceUpdate edit, ResourceNaming naming) {
        RoutingConfigEncoder encoder = new RoutingConfigEncoder(edit, naming);
        edit.resources.forEach(encoder::addResource);
        edit.removedNames.forEach(encoder::addRemovedEntry);
        return encoder.routing();
    }

    private void addResource(RoutingResource resource) {
        int table = resource.name().table();
        switch (resource.name().type()) {
            case CLUSTER -> entriesOf(table);
            case LINE -> entriesOf(table).append(entry(resource.entries().get(0)));
            case ROUTE -> resource.rules().forEach(this::addRequestClass);
            default -> {
                // The endpoints of a table are encoded as one LINE resource per entry.
            }
        }
    }

    private StringBuilder entriesOf(int table) {
        return entriesByTable.computeIfAbsent(table, key -> new StringBuilder());
    }

    private String entry(RoutingResource.EndpointEntry entry) {
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
                + entry.isDraining()
                + "</draining></line>";
    }

    private void addRequestClass(RoutingResource.RouteRule rule) {
        String className = naming.requestClassNames().get(rule.requestClass());
        requestClasses
                .append("<product nc:operation=\"replace\"><name>")
                .append(XmlElement.escape(className))
                .append("</name><table>")
                .append(rule.table())
                .append("</table><let-in>")
                .append(String.format(Locale.ROOT, "%.4f", rule.admissionLevel()))
                .append("</let-in><retry>")
                .append(RETRY_POLICY_NAMES.get(rule.retryMode()))
                .append("</retry></product>");
    }

    private void addRemovedEntry(ResourceName name) {
        if (name.type() == ResourceType.LINE) {
            entriesOf(name.table())
                    .append("<line nc:operation=\"remove\"><replica>")
                    .append(name.endpointId())
                    .append("</replica></line>");
        }
    }

    private String routing() {
        StringBuilder config =
                new StringBuilder("<routing xmlns=\"")
                        .append(OperationEncoder.ROUTING_NAMESPACE)
                        .append("\" xmlns:nc=\"")
                        .append(OperationEncoder.BASE_NAMESPACE)
                        .append("\">");
        entriesByTable.forEach((table, entries) -> appendTable(config, table, entries));
        config.append(requestClasses);
        // Removed tables follow the request classes that referred to them: the edit is one
        // transaction, but devices read it in this order.
        edit.removedNames.forEach(name -> appendRemovedTable(config, name));
        return config.append("</routing>").toString();
    }

    private void appendTable(StringBuilder config, int table, StringBuilder entries) {
        if (!edit.removedNames.contains(ResourceName.cluster(table))) {
            config.append("<table><number>")
                    .append(table)
                    .append("</number>")
                    .append(entries)
                    .append("</table>");
        }
    }

    private static void appendRemovedTable(StringBuilder config, ResourceName name) {
        if (name.type() == ResourceType.CLUSTER) {
            config.append("<table nc:operation=\"remove\"><number>")
                    .append(name.table())
                    .append("</number></table>");
        }
    }
}
