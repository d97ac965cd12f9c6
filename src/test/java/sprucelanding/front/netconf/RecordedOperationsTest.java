package sprucelanding.front.netconf;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import sprucelanding.control.delivery.Delivery;
import sprucelanding.control.delivery.ResourceUpdate;
import sprucelanding.control.edits.DeviceEditSession;
import sprucelanding.testing.Recording;
import sprucelanding.testing.ScriptedCore;

/**
 * NETCONF sessions, byte for byte as they were recorded: what a device is sent, framing included,
 * for each of its answers. Run with -Drecorded.write=true to write the recordings. Recordings are
 * never edited later: a difference is a defect of the step.
 */
@Timeout(60)
class RecordedOperationsTest {
    private static final String BASE = "urn:ietf:params:xml:ns:netconf:base:1.0";
    private static final String CAPABILITY = "urn:ietf:params:netconf:capability:";
    private static final String OK = "<ok/>";
    private static final String LOCKED =
            "<rpc-error><error-tag>lock-denied</error-tag>"
                    + "<error-message>by 4</error-message></rpc-error>";
    private static final String INVALID =
            "<rpc-error><error-tag>invalid-value</error-tag><error-path>/routing</error-path>"
                    + "<error-message>no</error-message></rpc-error>";

    /** No answer at all: the session breaks instead. */
    private static final String BREAKS = "breaks";

    private static final Pattern OPERATION =
            Pattern.compile("message-id=\"(\\d+)\"[^>]*><([a-z-]+)");
    private static final int LARGEST = 65_536;
    private static final double ANSWERS = 30_000;
    private static final double CONFIRMS = 120_500;
    private static final double LOCKS = 30_000;
    private static final int AT_ONCE = 8;
    private static final long LOOK_AGAIN_MS = 20;
    private static final int NUMBER = 1;

    private final ArrayDeque<ResourceUpdate> messages = new ArrayDeque<>();
    private final List<String> sent = new ArrayList<>();
    private final ArrayDeque<String> replies = new ArrayDeque<>();
    private Recording recording;
    private ScriptedCore core;
    private NetconfFront front;
    private Device device;
    private Session session;
    private boolean chunked;
    private String routing = "";

    /** A session's way out. */
    private final class Session implements DeviceTransport {
        @Override
        public void write(byte[] bytes) {
            String text = new String(bytes, StandardCharsets.UTF_8);
            recording.add("controller: " + text);
            sent.add(text);
        }

        @Override
        public void close(String why) {
            recording.add("the controller closes the session");
        }
    }

    private void opens(String name, long epoch) {
        recording = new Recording(name);
        core = new ScriptedCore(true, epoch, messages::add);
        core.proxyId("device-1");
        front =
                new NetconfFront(
                        core,
                        core,
                        "here",
                        new InetSocketAddress("127.0.0.1", 0),
                        null,
                        "user",
                        LARGEST,
                        new NetconfFront.EditLimits(ANSWERS, CONFIRMS, LOCKS, AT_ONCE));
        device =
                new Device(
                        front,
                        core,
                        "device-1",
                        NUMBER,
                        new DeviceEditSession(ANSWERS, CONFIRMS, LOCKS));
    }

    @AfterEach
    void closes() {
        front.close();
    }

    /** A new session, with a hello of these capabilities. */
    private void dials(String... capabilities) {
        session = new Session();
        chunked = false;
        sent.clear();
        recording.add("a session");
        device.onSessionOpened(session);
        sent.clear();
        StringBuilder hello = new StringBuilder("<hello xmlns=\"" + BASE + "\"><capabilities>");
        boolean chunks = false;
        for (String each : capabilities) {
            String whole = each.startsWith("base:") ? "urn:ietf:params:netconf:" + each : "";
            hello.append("<capability>")
                    .append(whole.isEmpty() ? CAPABILITY + each : whole)
                    .append("</capability>");
            chunks |= each.equals("base:1.1");
        }
        says(hello.append("</capabilities></hello>").toString());
        chunked = chunks;
        works();
    }

    private void says(String xml) {
        recording.add("device: " + xml);
        byte[] body = xml.getBytes(StandardCharsets.UTF_8);
        String framed = chunked ? "\n#" + body.length + "\n" + xml + "\n##\n" : xml + "]]>]]>";
        device.onBytes(session, framed.getBytes(StandardCharsets.UTF_8));
    }

    private void broken() {
        recording.add("the session breaks");
        device.onSessionLost(session);
        sent.clear();
    }

    /** The device answers what it is asked, as the story says or else with ok, to the last. */
    private void works() {
        while (!sent.isEmpty() || !messages.isEmpty()) {
            if (sent.isEmpty()) {
                boolean taken = device.submitEdit(messages.poll());
                recording.add("an edit" + (taken ? "" : " of a session that is over"));
                continue;
            }
            Matcher operation = OPERATION.matcher(sent.remove(0));
            if (!operation.find()) {
                throw new AssertionError("no operation");
            }
            String reply = reply(operation.group(2));
            if (reply.equals(BREAKS)) {
                broken();
            } else {
                says(
                        "<rpc-reply xmlns=\""
                                + BASE
                                + "\" message-id=\""
                                + operation.group(1)
                                + "\">"
                                + reply
                                + "</rpc-reply>");
            }
        }
    }

    /** The next answer of the story if it is for this operation. */
    private String reply(String operation) {
        String next = replies.peek();
        if (next != null && next.startsWith(operation + " ")) {
            return replies.poll().substring(operation.length() + 1);
        }
        return operation.equals("get-config") ? "<data>" + routing + "</data>" : OK;
    }

    private void orders(String title, Consumer<Delivery> orders) {
        recording.add("orders: " + title);
        core.applyOrders(orders);
        works();
    }

    private void firstOrders() {
        orders(
                "tables 0 and 1",
                d -> {
                    d.setEntry(0, 1, 100);
                    d.setEntry(0, 2, 250.4);
                    d.setEntry(0, 3, 0.2);
                    d.setEntry(1, 2, 1e9);
                    d.setEntry(1, 4, 7);
                    d.setAdmissionLevel(0, 0, 12.34567, 2);
                    d.setAdmissionLevel(1, 1, 1e6, 1);
                    d.bind(NUMBER, 0, List.of(0, 2));
                    d.bind(NUMBER, 1, List.of(1));
                });
    }

    private static String table(int number, String... lines) {
        return "<table><number>" + number + "</number>" + String.join("", lines) + "</table>";
    }

    private static String line(int replica, int weight, boolean draining) {
        return "<line><replica>"
                + replica
                + "</replica><weight>"
                + weight
                + "</weight><draining>"
                + draining
                + "</draining></line>";
    }

    private static String product(String name, int table, String letIn, String retry) {
        return "<product><name>"
                + name
                + "</name><table>"
                + table
                + "</table><let-in>"
                + letIn
                + "</let-in><retry>"
                + retry
                + "</retry></product>";
    }

    private static String routing(String... parts) {
        return "<routing xmlns=\"urn:sprucelanding:proxy\"><zone>north</zone>"
                + "<txns-per-second>12.5</txns-per-second>"
                + String.join("", parts)
                + "</routing>";
    }

    /** All that the orders above come to. */
    private static String laid() {
        return routing(
                table(0, line(1, 100, false), line(2, 250, false), line(3, 1, false)),
                table(1, line(2, 1 << 20, false), line(4, 7, false)),
                product("read", 0, "12.3457", "any"),
                product("write", 1, "1000000.0000", "unrun"),
                product("a&amp;b&lt;c&gt;\"d\"", 0, "1000000.0000", "never"));
    }

    private void changes() {
        orders("weights", d -> d.setEntry(0, 1, 80));
        orders("a removal", d -> d.setEntry(0, 2, 0));
        orders("out everywhere", d -> d.setEjected(3, true));
        orders("back", d -> d.setEjected(3, false));
        orders("levels", d -> d.setAdmissionLevel(0, 0, 0, 0));
        orders(
                "table 2 in place of 1",
                d -> {
                    d.setEntry(2, 5, 11);
                    d.setEntry(2, 6, 12);
                    d.bind(NUMBER, 2, List.of(1));
                });
        orders("table 1 is cleared", d -> d.clearTable(1));
    }

    @Test
    void aDeviceWithAllCapabilities() {
        opens("netconf-all-capabilities", 0);
        dials(
                "base:1.0",
                "base:1.1",
                "candidate:1.0",
                "confirmed-commit:1.1",
                "validate:1.1",
                "notification:1.0",
                "interleave:1.0");
        firstOrders();
        changes();
        replies.add("validate " + INVALID);
        orders("a line that is refused", d -> d.setEntry(0, 1, 81));
        replies.add("edit-config " + INVALID);
        orders("another that is refused", d -> d.setEntry(0, 1, 82));
        replies.add("commit " + INVALID);
        orders("a commit that is refused", d -> d.setEntry(0, 1, 83));
        routing = routing(table(0, line(1, 99, false), line(9, 5, true)), table(7));
        says(
                "<notification xmlns=\"urn:ietf:params:xml:ns:netconf:notification:1.0\">"
                        + "<eventTime>2020-01-01T00:00:00Z</eventTime><netconf-config-change/>"
                        + "</notification>");
        works();
        recording.check();
    }

    @Test
    void aDeviceThatWritesItsRunningDatastore() {
        opens("netconf-writable-running", 0);
        dials("base:1.0", "writable-running:1.0");
        firstOrders();
        changes();
        replies.add("edit-config " + INVALID);
        orders("a line that is refused", d -> d.setEntry(0, 1, 81));
        recording.check();
    }

    @Test
    void aDeviceWithoutTrialsUnderAnEpoch() {
        opens("netconf-candidate-epoch", 4_294_967_299L);
        dials("base:1.1", "candidate:1.0");
        firstOrders();
        changes();
        recording.check();
    }

    @Test
    void sessionsThatBreakAtEachOperation() {
        String[] all = {"base:1.1", "candidate:1.0", "confirmed-commit:1.1", "validate:1.1"};
        opens("netconf-broken-sessions", 3);
        dials(all);
        for (String operation : List.of("lock", "edit-config", "validate", "unlock")) {
            recording.add("breaks at " + operation);
            replies.add(operation + " " + BREAKS);
            firstOrders();
            messages.clear();
            dials(all);
        }
        recording.add("breaks between commit and confirmation");
        replies.add("commit " + OK);
        replies.add("commit " + BREAKS);
        firstOrders();
        messages.clear();
        routing = laid();
        dials(all);
        firstOrders();
        recording.check();
    }

    @Test
    void aLockOfOthersIsTriedAgain() throws Exception {
        opens("netconf-lock-of-others", 0);
        dials("base:1.1", "candidate:1.0", "confirmed-commit:1.1");
        replies.add("lock " + LOCKED);
        replies.add("lock " + LOCKED);
        replies.add("lock " + OK);
        firstOrders();
        while (!replies.isEmpty()) {
            Thread.sleep(LOOK_AGAIN_MS);
            device.decide();
            works();
        }
        recording.check();
    }

    @Test
    void hellosThatAreRefused() {
        opens("netconf-refused", 0);
        dials("candidate:1.0");
        dials("base:1.1");
        dials("base:1.1", "validate:1.1", "confirmed-commit:1.1");
        dials("base:1.0", "writable-running:1.0");
        says("<other/>");
        dials("base:1.0", "writable-running:1.0");
        says("<rpc-reply xmlns=\"" + BASE + "\"><ok/></rpc-reply>");
        dials("base:1.1", "writable-running:1.0");
        chunked = false;
        says("no chunk");
        recording.check();
    }
}
