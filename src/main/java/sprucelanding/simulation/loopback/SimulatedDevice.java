package sprucelanding.simulation.loopback;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.PublicKey;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.apache.sshd.common.SshConstants;
import org.apache.sshd.common.config.keys.KeyUtils;
import org.apache.sshd.common.config.keys.PublicKeyEntry;
import org.apache.sshd.common.io.IoConnectFuture;
import org.apache.sshd.common.io.IoConnector;
import org.apache.sshd.common.io.IoInputStream;
import org.apache.sshd.common.io.IoOutputStream;
import org.apache.sshd.common.io.IoReadFuture;
import org.apache.sshd.common.io.IoSession;
import org.apache.sshd.common.keyprovider.KeyPairProvider;
import org.apache.sshd.common.session.Session;
import org.apache.sshd.common.session.helpers.AbstractSession;
import org.apache.sshd.common.util.buffer.Buffer;
import org.apache.sshd.common.util.buffer.ByteArrayBuffer;
import org.apache.sshd.core.CoreModuleProperties;
import org.apache.sshd.server.Environment;
import org.apache.sshd.server.ExitCallback;
import org.apache.sshd.server.SshServer;
import org.apache.sshd.server.channel.ChannelSession;
import org.apache.sshd.server.command.AsyncCommand;
import org.apache.sshd.server.session.SessionFactory;
import org.apache.sshd.server.subsystem.SubsystemFactory;
import sprucelanding.front.xml.NetconfFraming;
import sprucelanding.front.xml.XmlElement;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.simulation.model.ProxyTables;
import sprucelanding.simulation.model.Route;
import sprucelanding.simulation.model.WeightedEndpoint;

/**
 * The management side of a device that takes NETCONF edits: it dials its governor (RFC 8071), is
 * the SSH and NETCONF server on that connection, and has running, candidate and startup datastores
 * of the module sprucelanding-proxy, locks and commits on trial. By script it answers late or
 * never, rejects, has its lock held, loses a session, reboots, or is changed by others.
 */
public final class SimulatedDevice {
    private static final String BASE = "urn:ietf:params:xml:ns:netconf:base:1.0";
    private static final String CAPABILITY = "<capability>urn:ietf:params:netconf:";
    private static final int READ_BUFFER_BYTES = 32_768;
    private static final int MAX_MESSAGE_BYTES = 16 << 20;
    private static final double NOTIFICATION_MILLIS = 1000;

    /** One line or product of the configuration. */
    private record ConfigEntry(Map<String, String> leaves) {}

    /** A datastore: lines by table and replica, and products by name. */
    private static final class Datastore {
        final TreeMap<Integer, TreeMap<Long, ConfigEntry>> entriesByTable = new TreeMap<>();
        final TreeMap<String, ConfigEntry> entriesByClass = new TreeMap<>();

        Datastore copy() {
            Datastore copy = new Datastore();
            entriesByTable.forEach(
                    (table, entries) -> copy.entriesByTable.put(table, new TreeMap<>(entries)));
            copy.entriesByClass.putAll(entriesByClass);
            return copy;
        }
    }

    private final String name;
    private final String zone;
    private final double expectedRate;
    private final PublicKey governorKey;
    private final SshServer server;
    private final KeyPair key;
    private volatile Datastore running = new Datastore();
    private Datastore candidate;

    /** What a commit on trial replaced, and its name. */
    private Datastore rollback;

    private String pendingPersistId = "";
    private EventLoop.Timer rollbackTimer;
    private Connection connection;
    private double lockedUntil;
    private int responsesToDrop;
    private long forbiddenEndpoint;
    private double breakAfterCommitMillis;
    private volatile boolean rolledBack;

    /**
     * @param governor the key that a governor must hold to come in
     * @param key its own host key
     */
    public SimulatedDevice(
            String name, String zone, double expectedRate, PublicKey governor, KeyPair key)
            throws IOException {
        this.name = name;
        this.zone = zone;
        this.expectedRate = expectedRate;
        this.governorKey = governor;
        this.key = key;
        server = SshServer.setUpDefaultServer();
        server.setHost("127.0.0.1");
        CoreModuleProperties.TCP_NODELAY.set(server, true);
        server.setKeyPairProvider(KeyPairProvider.wrap(key));
        server.setPublickeyAuthenticator(
                (user, offered, session) -> KeyUtils.compareKeys(offered, this.governorKey));
        server.setSubsystemFactories(
                List.of(
                        new SubsystemFactory() {
                            @Override
                            public String getName() {
                                return "netconf";
                            }

                            @Override
                            public org.apache.sshd.server.command.Command createSubsystem(
                                    ChannelSession channel) {
                                return connection.new Subsystem();
                            }
                        }));
        server.setNioWorkers(1);
        server.start();
    }

    /** A new key of the kind that the stand-ins use. */
    public static KeyPair generateKey() {
        try {
            KeyPairGenerator generator = KeyPairGenerator.getInstance("EC");
            generator.initialize(256);
            return generator.generateKeyPair();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("no EC keys here", e);
        }
    }

    /** Its name and host key as a line of the governor's file of devices. */
    public String knownHostLine() {
        return name + " " + PublicKeyEntry.toString(key.getPublic());
    }

    /** Another manager holds its lock for so long. */
    public void lockFor(double millis) {
        lockedUntil = EventLoop.nowMillis() + millis;
    }

    /** So many of its next answers never come, though what was asked is done. */
    public void dropResponses(int responses) {
        responsesToDrop = responses;
    }

    /**
     * It takes no edit that lays or changes a line of this replica, and tells which it was; 0: it
     * takes all.
     */
    public void forbidEndpoint(long endpointId) {
        forbiddenEndpoint = endpointId;
    }

    /**
     * Its session breaks right after the next commit on trial; it takes that back after so long
     * unless it is confirmed.
     */
    public void breakBeforeConfirm(double millis) {
        breakAfterCommitMillis = millis;
    }

    /** Whether the last commit on trial ran out. */
    public boolean rolledBack() {
        return rolledBack;
    }

    /**
     * What it holds was committed on trial by another governor, which is gone; the device takes all
     * of it back after so long, silently.
     */
    public void rollBackAfter(EventLoop loop, double millis) {
        loop.schedule(
                millis,
                () -> {
                    running = new Datastore();
                    rolledBack = true;
                    if (connection != null) {
                        connection.apply();
                    }
                });
    }

    /** Another manager adds a line that nobody asked for. */
    public void driftConfiguration() {
        running.entriesByTable
                .computeIfAbsent(0, ignored -> new TreeMap<>())
                .put(
                        4_000_000_000L,
                        new ConfigEntry(
                                Map.of(
                                        "host",
                                        "127.0.0.1",
                                        "port",
                                        "9",
                                        "weight",
                                        "1",
                                        "draining",
                                        "true")));
        if (connection != null) {
            connection.apply();
            connection.sendNotification(
                    "<netconf-config-change xmlns=\"urn:ietf:params:xml:ns:yang:ietf-netconf-notifications\"/>");
        }
    }

    /** Back to its startup configuration, which is empty. */
    void reboot() {
        running = new Datastore();
        candidate = null;
        endConfirmedCommit();
    }

    /** A line of its running configuration: w or d and the weight; null for none. */
    public String entryText(int table, long endpointId) {
        ConfigEntry entry =
                running.entriesByTable.getOrDefault(table, new TreeMap<>()).get(endpointId);
        return entry == null
                ? null
                : (entry.leaves.get("draining").equals("true") ? "d" : "w")
                        + entry.leaves.get("weight");
    }

    /** Whether its products have routes. */
    public boolean hasRoutes() {
        return !running.entriesByClass.isEmpty();
    }

    /** It sends these bytes in place of a reply. */
    public void sendGarbled(byte[] bytes) {
        if (connection != null) {
            connection.outbound.add(bytes);
            connection.writeNext();
        }
    }

    public void stop() throws IOException {
        server.stop(true);
    }

    private void endConfirmedCommit() {
        rollback = null;
        pendingPersistId = "";
        if (rollbackTimer != null) {
            rollbackTimer.cancel();
            rollbackTimer = null;
        }
    }

    ControlChannel openChannel(
            EventLoop loop,
            int port,
            ProxyTables<InetSocketAddress> tables,
            LoadReportClient loadReports,
            ControlChannel.ControlChannelListener listener) {
        connection = new Connection(loop, port, tables, loadReports, listener);
        return connection;
    }

    /** One dialling of a governor and the session on it. */
    private final class Connection implements ControlChannel {
        private static final String KEEPALIVE_REQUEST = "keepalive@openssh.com";
        private final EventLoop loop;
        private final int port;
        private final ProxyTables<InetSocketAddress> tables;
        private final LoadReportClient loadReports;
        private final ControlChannelListener listener;
        private final NetconfFraming framing =
                new NetconfFraming(MAX_MESSAGE_BYTES, this::onMessage);
        private final ArrayDeque<byte[]> outbound = new ArrayDeque<>();
        private final ArrayDeque<byte[]> unreadInput = new ArrayDeque<>();
        private IoSession session;
        private IoOutputStream stream;
        private boolean writing;
        private boolean closed;
        private boolean locked;
        private boolean subscribed;
        private boolean readsPaused;
        private double responseDelayMillis;
        private int messagesToReject;
        private long edits;
        private int editedEntries;
        private String controlPlaneId = "";

        Connection(
                EventLoop loop,
                int port,
                ProxyTables<InetSocketAddress> tables,
                LoadReportClient loadReports,
                ControlChannelListener listener) {
            this.loop = loop;
            this.port = port;
            this.tables = tables;
            this.loadReports = loadReports;
            this.listener = listener;
        }

        @Override
        public void open() {
            apply();
            IoConnector connector =
                    server.getIoServiceFactory().createConnector(new SessionFactory(server));
            connector
                    .connect(new InetSocketAddress("127.0.0.1", port), null, null)
                    .addListener(
                            (IoConnectFuture future) -> {
                                if (future.isConnected()) {
                                    session = future.getSession();
                                    session.addCloseFutureListener(
                                            ignored ->
                                                    loop.tryExecute(
                                                            () -> fail("the session broke")));
                                } else {
                                    loop.tryExecute(() -> fail("no connection"));
                                }
                            });
            loop.schedule(
                    4000,
                    () -> {
                        if (stream == null) {
                            fail("nobody asked for the subsystem");
                        }
                    });
        }

        /**
         * It looks whether the governor still answers, as RFC 8071 (section 4.1) wants it of
         * devices.
         */
        private void sendKeepalive() {
            if (closed || stream == null) {
                return;
            }
            boolean[] answered = new boolean[1];
            try {
                Session ssh = AbstractSession.getSession(session);
                Buffer request = ssh.createBuffer(SshConstants.SSH_MSG_GLOBAL_REQUEST);
                request.putString(KEEPALIVE_REQUEST);
                request.putBoolean(true);
                ssh.request(
                        request,
                        KEEPALIVE_REQUEST,
                        (command, reply) -> loop.tryExecute(() -> answered[0] = true));
            } catch (IOException | RuntimeException e) {
                return; // it is closing: its end is told by itself
            }
            loop.schedule(
                    KEEPALIVE_TIMEOUT_MILLIS,
                    () -> {
                        if (!answered[0]) {
                            fail("silent");
                        } else {
                            loop.schedule(KEEPALIVE_MILLIS, this::sendKeepalive);
                        }
                    });
        }

        private void fail(String reason) {
            if (!closed) {
                closed = true;
                locked = false;
                hangUp();
                listener.onBroken(reason);
            }
        }

        @Override
        public void close() {
            closed = true;
            hangUp();
        }

        private void hangUp() {
            try {
                if (session != null) {
                    session.close(true);
                }
            } catch (IllegalStateException e) {
                // the device's server is down, and its connections with it
            }
        }

        @Override
        public void setResponseDelay(double millis) {
            responseDelayMillis = millis;
        }

        @Override
        public void rejectNext(int messages) {
            messagesToReject = messages;
        }

        @Override
        public void setReadsPaused(boolean enabled) {
            readsPaused = enabled;
            while (!enabled && !unreadInput.isEmpty()) {
                onBytes(unreadInput.poll());
            }
        }

        /** The subsystem's streams; the library's threads hand over to the loop. */
        private final class Subsystem implements AsyncCommand {
            private IoInputStream in;

            @Override
            public void setIoInputStream(IoInputStream in) {
                this.in = in;
            }

            @Override
            public void setIoOutputStream(IoOutputStream out) {
                stream = out;
            }

            @Override
            public void setIoErrorStream(IoOutputStream err) {}

            @Override
            public void setInputStream(java.io.InputStream in) {}

            @Override
            public void setOutputStream(java.io.OutputStream out) {}

            @Override
            public void setErrorStream(java.io.OutputStream err) {}

            @Override
            public void setExitCallback(ExitCallback callback) {}

            @Override
            public void start(ChannelSession channel, Environment env) {
                loop.tryExecute(
                        () ->
                                write(
                                        "<hello xmlns=\""
                                                + BASE
                                                + "\"><capabilities>"
                                                + CAPABILITY
                                                + "base:1.0</capability>"
                                                + CAPABILITY
                                                + "base:1.1</capability>"
                                                + CAPABILITY
                                                + "capability:candidate:1.0</capability>"
                                                + CAPABILITY
                                                + "capability:confirmed-commit:1.1</capability>"
                                                + CAPABILITY
                                                + "capability:validate:1.1</capability>"
                                                + CAPABILITY
                                                + "capability:rollback-on-error:1.0</capability>"
                                                + CAPABILITY
                                                + "capability:notification:1.0</capability>"
                                                + CAPABILITY
                                                + "capability:interleave:1.0</capability>"
                                                + "<capability>urn:sprucelanding:proxy?module=sprucelanding-proxy</capability>"
                                                + "</capabilities><session-id>1</session-id></hello>"));
                loop.tryExecute(() -> loop.schedule(KEEPALIVE_MILLIS, () -> sendKeepalive()));
                read(new ByteArrayBuffer(READ_BUFFER_BYTES));
            }

            private void read(ByteArrayBuffer buffer) {
                in.read(buffer)
                        .addListener(
                                (IoReadFuture future) -> {
                                    if (future.getException() == null) {
                                        byte[] bytes = buffer.getCompactData();
                                        loop.tryExecute(() -> onBytes(bytes));
                                        read(new ByteArrayBuffer(READ_BUFFER_BYTES));
                                    }
                                });
            }

            @Override
            public void destroy(ChannelSession channel) {
                loop.tryExecute(() -> fail("the channel closed"));
            }
        }

        private void onBytes(byte[] bytes) {
            if (readsPaused) {
                unreadInput.add(bytes);
                return;
            }
            if (!closed) {
                try {
                    framing.onBytes(bytes, 0, bytes.length);
                } catch (IOException e) {
                    fail(e.getMessage());
                }
            }
        }

        private void write(String text) {
            outbound.add(framing.frame(text));
            writeNext();
        }

        private void writeNext() {
            if (writing || closed || outbound.isEmpty()) {
                return;
            }
            writing = true;
            try {
                stream.writeBuffer(new ByteArrayBuffer(outbound.poll()))
                        .addListener(
                                future ->
                                        loop.tryExecute(
                                                () -> {
                                                    writing = false;
                                                    writeNext();
                                                }));
            } catch (IOException | RuntimeException e) {
                fail(e.getMessage());
            }
        }

        private void onMessage(byte[] bytes) {
            try {
                XmlElement root = XmlElement.parse(bytes);
                if (root.name.equals("hello")) {
                    framing.useChunkedFraming();
                    return;
                }
                if (closed) {
                    return;
                }
                String messageId = root.attributes.getOrDefault("message-id", "");
                XmlElement operation = root.children.get(0);
                controlPlaneId = root.attributes.getOrDefault("voice", "");
                String reply = execute(operation);
                if (responsesToDrop > 0) {
                    responsesToDrop--;
                    return;
                }
                Runnable send =
                        () -> {
                            if (!closed) {
                                write(
                                        "<rpc-reply message-id=\""
                                                + messageId
                                                + "\" xmlns=\""
                                                + BASE
                                                + "\">"
                                                + reply
                                                + "</rpc-reply>");
                                if (reply.equals("<ok/>")
                                        && operation.name.equals("commit")
                                        && operation.child("confirmed") == null) {
                                    listener.onAcknowledged(edits, false);
                                }
                            }
                        };
                if (responseDelayMillis > 0) {
                    loop.schedule(responseDelayMillis, send);
                } else {
                    send.run();
                }
            } catch (IOException e) {
                fail(e.getMessage());
            }
        }

        private static String error(String tag, String message) {
            return error(tag, "", message);
        }

        private static String error(String tag, String path, String message) {
            return "<rpc-error><error-type>application</error-type><error-tag>"
                    + tag
                    + "</error-tag><error-severity>error</error-severity>"
                    + path
                    + "<error-message>"
                    + message
                    + "</error-message></rpc-error>";
        }

        private String execute(XmlElement operation) {
            switch (operation.name) {
                case "get-config":
                    return "<data>" + configurationXml() + "</data>";
                case "lock":
                    if (EventLoop.nowMillis() < lockedUntil) {
                        return error("lock-denied", "held by another manager");
                    }
                    locked = true;
                    candidate = running.copy();
                    return "<ok/>";
                case "unlock":
                    locked = false;
                    candidate = null;
                    return "<ok/>";
                case "edit-config":
                    return edit(operation);
                case "validate":
                    return "<ok/>";
                case "discard-changes":
                    candidate = running.copy();
                    return "<ok/>";
                case "commit":
                    return commit(operation);
                case "create-subscription":
                    subscribed = true;
                    loadReports.notificationXml(Map.of());
                    sendNotification();
                    return "<ok/>";
                default:
                    return error("operation-not-supported", operation.name);
            }
        }

        private String edit(XmlElement operation) {
            XmlElement routing = operation.child("config").child("routing");
            edits++;
            editedEntries = 0;
            if (messagesToReject > 0) {
                messagesToReject--;
                listener.onRejected("edit", edits, controlPlaneId);
                listener.onAcknowledged(edits, true);
                return error("invalid-value", "rejected by script");
            }
            if (candidate == null) {
                candidate = running.copy();
            }
            Datastore before = candidate.copy();
            for (XmlElement table : routing.childrenNamed("table")) {
                int tableNumber = Integer.parseInt(table.text("number"));
                if ("remove".equals(table.attributes.get("operation"))) {
                    candidate.entriesByTable.remove(tableNumber);
                    editedEntries++;
                    continue;
                }
                TreeMap<Long, ConfigEntry> entries =
                        candidate.entriesByTable.computeIfAbsent(
                                tableNumber, ignored -> new TreeMap<>());
                for (XmlElement element : table.childrenNamed("line")) {
                    editedEntries++;
                    long endpointId = Long.parseLong(element.text("replica"));
                    boolean remove = "remove".equals(element.attributes.get("operation"));
                    if (!remove && endpointId == forbiddenEndpoint) {
                        candidate = before; // :rollback-on-error
                        listener.onRejected("edit", edits, controlPlaneId);
                        listener.onAcknowledged(edits, true);
                        return error(
                                "invalid-value",
                                "<error-path>/routing/table[number='"
                                        + tableNumber
                                        + "']/line[replica='"
                                        + endpointId
                                        + "']</error-path>",
                                "not this one");
                    }
                    if (remove) {
                        entries.remove(endpointId);
                    } else {
                        entries.put(endpointId, parseEntry(element));
                    }
                }
            }
            for (XmlElement product : routing.childrenNamed("product")) {
                editedEntries++;
                candidate.entriesByClass.put(product.text("name"), parseEntry(product));
            }
            return "<ok/>";
        }

        private ConfigEntry parseEntry(XmlElement element) {
            Map<String, String> leaves = new LinkedHashMap<>();
            element.children.forEach(child -> leaves.put(child.name, child.text()));
            return new ConfigEntry(leaves);
        }

        private String commit(XmlElement operation) {
            String confirmedId = operation.text("persist-id");
            if (!confirmedId.isEmpty()) {
                if (!confirmedId.equals(pendingPersistId)) {
                    return error("invalid-value", "no commit of that persist-id is on trial");
                }
                endConfirmedCommit();
                return "<ok/>";
            }
            if (candidate == null) {
                return error("operation-failed", "nothing to commit");
            }
            Datastore previous = running;
            running = candidate.copy();
            if (operation.child("confirmed") != null) {
                rollback = previous;
                pendingPersistId = operation.text("persist");
                if (rollbackTimer != null) {
                    rollbackTimer.cancel();
                }
                double ends = 1000 * Double.parseDouble(operation.text("confirm-timeout"));
                if (breakAfterCommitMillis > 0) {
                    ends = breakAfterCommitMillis;
                    breakAfterCommitMillis = 0;
                    rolledBack = false;
                    loop.schedule(0, () -> fail("lost between commit and confirm"));
                }
                rollbackTimer =
                        loop.schedule(
                                ends,
                                () -> {
                                    running = rollback;
                                    rolledBack = true;
                                    endConfirmedCommit();
                                    apply();
                                });
            } else {
                endConfirmedCommit();
            }
            apply();
            listener.onApplied("edit", edits, editedEntries, controlPlaneId);
            return "<ok/>";
        }

        /** Puts the running configuration to work. */
        private void apply() {
            tables.clusters.clear();
            running.entriesByTable.forEach(
                    (tableNumber, entries) -> {
                        Map<String, WeightedEndpoint<InetSocketAddress>> table =
                                new LinkedHashMap<>();
                        entries.forEach(
                                (endpointId, entry) ->
                                        table.put(
                                                Long.toString(endpointId),
                                                new WeightedEndpoint<>(
                                                        "",
                                                        new InetSocketAddress(
                                                                entry.leaves.get("host"),
                                                                Integer.parseInt(
                                                                        entry.leaves.get("port"))),
                                                        Double.parseDouble(
                                                                entry.leaves.get("weight")),
                                                        !entry.leaves
                                                                .get("draining")
                                                                .equals("true"))));
                        tables.clusters.put("t" + tableNumber, table);
                    });
            Map<String, Route> routes = new LinkedHashMap<>();
            running.entriesByClass.forEach(
                    (requestClass, entry) -> {
                        double letIn = Double.parseDouble(entry.leaves.get("let-in"));
                        routes.put(
                                requestClass,
                                new Route(
                                        "t" + entry.leaves.get("table"),
                                        Math.min(1, letIn),
                                        Double.POSITIVE_INFINITY,
                                        Route.RetryMode.valueOf(
                                                entry.leaves
                                                        .get("retry")
                                                        .toUpperCase(Locale.ROOT))));
                    });
            tables.routes = routes;
        }

        private String configurationXml() {
            StringBuilder text =
                    new StringBuilder("<routing xmlns=\"urn:sprucelanding:proxy\"><zone>")
                            .append(zone)
                            .append("</zone><txns-per-second>")
                            .append(expectedRate)
                            .append("</txns-per-second>");
            running.entriesByTable.forEach(
                    (tableNumber, entries) -> {
                        text.append("<table><number>").append(tableNumber).append("</number>");
                        entries.forEach(
                                (endpointId, entry) ->
                                        appendLeaves(text.append("<line>"), endpointId, entry)
                                                .append("</line>"));
                        text.append("</table>");
                    });
            running.entriesByClass.forEach(
                    (requestClass, entry) ->
                            appendLeaves(text.append("<product>"), 0, entry).append("</product>"));
            return text.append("</routing>").toString();
        }

        private StringBuilder appendLeaves(StringBuilder text, long endpointId, ConfigEntry entry) {
            if (endpointId > 0 && !entry.leaves.containsKey("replica")) {
                text.append("<replica>").append(endpointId).append("</replica>");
            }
            entry.leaves.forEach(
                    (leaf, value) ->
                            text.append('<')
                                    .append(leaf)
                                    .append('>')
                                    .append(XmlElement.escape(value))
                                    .append("</")
                                    .append(leaf)
                                    .append('>'));
            return text;
        }

        private void sendNotification() {
            loop.schedule(
                    NOTIFICATION_MILLIS,
                    () -> {
                        if (!closed && subscribed) {
                            Map<InetSocketAddress, Long> endpointIds = new HashMap<>();
                            running.entriesByTable
                                    .values()
                                    .forEach(
                                            entries ->
                                                    entries.forEach(
                                                            (endpointId, entry) ->
                                                                    endpointIds.put(
                                                                            new InetSocketAddress(
                                                                                    entry.leaves
                                                                                            .get(
                                                                                                    "host"),
                                                                                    Integer
                                                                                            .parseInt(
                                                                                                    entry
                                                                                                            .leaves
                                                                                                            .get(
                                                                                                                    "port"))),
                                                                            endpointId)));
                            sendNotification(loadReports.notificationXml(endpointIds));
                            sendNotification();
                        }
                    });
        }

        private void sendNotification(String content) {
            if (!closed && subscribed) {
                write(
                        "<notification xmlns=\"urn:ietf:params:xml:ns:netconf:notification:1.0\"><eventTime>"
                                + java.time.Instant.now()
                                + "</eventTime>"
                                + content
                                + "</notification>");
            }
        }
    }
}
