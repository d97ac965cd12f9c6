package sprucelanding.front.netconf;

import java.util.List;
import sprucelanding.control.edits.DeviceEditSession.DeviceCapabilities;
import sprucelanding.front.xml.XmlElement;
import sprucelanding.runtime.governor.ResourceNaming;

/** Encoder of NETCONF operations as XML (RFC 6241), and decoder of a hello's capabilities. */
final class OperationEncoder {
    static final String BASE_NAMESPACE = "urn:ietf:params:xml:ns:netconf:base:1.0";
    static final String BASE_1_0_CAPABILITY = "urn:ietf:params:netconf:base:1.0";
    static final String BASE_1_1_CAPABILITY = "urn:ietf:params:netconf:base:1.1";

    /** The namespace of the YANG module sprucelanding-proxy (docs/sprucelanding-proxy.yang). */
    static final String ROUTING_NAMESPACE = "urn:sprucelanding:proxy";

    private static final String CAPABILITY_PREFIX = "urn:ietf:params:netconf:capability:";
    private static final String NOTIFICATION_NAMESPACE =
            "urn:ietf:params:xml:ns:netconf:notification:1.0";

    private OperationEncoder() {}

    /** Returns the governor's hello, which announces both framings. */
    static String hello() {
        return "<hello xmlns=\""
                + BASE_NAMESPACE
                + "\"><capabilities><capability>"
                + BASE_1_0_CAPABILITY
                + "</capability><capability>"
                + BASE_1_1_CAPABILITY
                + "</capability></capabilities></hello>";
    }

    /** Returns what a device can do according to the capabilities in its hello. */
    static DeviceCapabilities capabilities(List<String> offered) {
        return new DeviceCapabilities(
                hasCapability(offered, "candidate:1.0"),
                hasCapability(offered, "confirmed-commit:1.1"),
                hasCapability(offered, "validate:1.1"),
                hasCapability(offered, "writable-running:1.0"),
                hasCapability(offered, "notification:1.0")
                        && hasCapability(offered, "interleave:1.0"));
    }

    private static boolean hasCapability(List<String> offered, String name) {
        return offered.contains(CAPABILITY_PREFIX + name);
    }

    /**
     * Encodes one operation as an rpc.
     *
     * @throws IllegalStateException if an edit contains an entry whose endpoint was never listed
     */
    static String rpc(RpcRequest request, ResourceNaming naming) {
        return "<rpc message-id=\""
                + request.messageId()
                + "\" xmlns=\""
                + BASE_NAMESPACE
                + "\""
                + writerAttribute(request.writer())
                + ">"
                + operation(request, naming)
                + "</rpc>";
    }

    private static String writerAttribute(String writer) {
        return writer.isEmpty()
                ? ""
                : " xmlns:sl=\""
                        + ROUTING_NAMESPACE
                        + "\" sl:voice=\""
                        + XmlElement.escape(writer)
                        + "\"";
    }

    private static String operation(RpcRequest request, ResourceNaming naming) {
        return switch (request.operation()) {
            case READ -> readRunning();
            case LOCK -> "<lock>" + target(request) + "</lock>";
            case UNLOCK -> "<unlock>" + target(request) + "</unlock>";
            case EDIT -> edit(request, naming);
            case VALIDATE -> "<validate><source><candidate/></source></validate>";
            case TRY_COMMIT -> confirmedCommit(request);
            case CONFIRM -> "<commit><persist-id>" + request.persistId() + "</persist-id></commit>";
            case COMMIT -> "<commit/>";
            case DISCARD -> "<discard-changes/>";
            case SUBSCRIBE -> "<create-subscription xmlns=\"" + NOTIFICATION_NAMESPACE + "\"/>";
            default -> throw new AssertionError(request.operation());
        };
    }

    private static String target(RpcRequest request) {
        return "<target><" + request.targetDatastore() + "/></target>";
    }

    private static String readRunning() {
        return "<get-config><source><running/></source><filter type=\"subtree\"><routing xmlns=\""
                + ROUTING_NAMESPACE
                + "\"/></filter></get-config>";
    }

    private static String edit(RpcRequest request, ResourceNaming naming) {
        return "<edit-config>"
                + target(request)
                + "<default-operation>merge</default-operation>"
                + "<error-option>rollback-on-error</error-option><config>"
                + RoutingConfigEncoder.encode(request.edit(), naming)
                + "</config></edit-config>";
    }

    private static String confirmedCommit(RpcRequest request) {
        return "<commit><confirmed/><confirm-timeout>"
                + request.confirmTimeoutSeconds()
                + "</confirm-timeout><persist>"
                + request.persistId()
                + "</persist></commit>";
    }
}
