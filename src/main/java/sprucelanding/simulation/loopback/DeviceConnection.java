package sprucelanding.simulation.loopback;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Map;
import org.apache.sshd.common.SshConstants;
import org.apache.sshd.common.io.IoConnectFuture;
import org.apache.sshd.common.io.IoConnector;
import org.apache.sshd.common.io.IoInputStream;
import org.apache.sshd.common.io.IoOutputStream;
import org.apache.sshd.common.io.IoReadFuture;
import org.apache.sshd.common.io.IoSession;
import org.apache.sshd.common.session.Session;
import org.apache.sshd.common.session.helpers.AbstractSession;
import org.apache.sshd.common.util.buffer.Buffer;
import org.apache.sshd.common.util.buffer.ByteArrayBuffer;
import org.apache.sshd.server.Environment;
import org.apache.sshd.server.ExitCallback;
import org.apache.sshd.server.SshServer;
import org.apache.sshd.server.channel.ChannelSession;
import org.apache.sshd.server.command.AsyncCommand;
import org.apache.sshd.server.command.Command;
import org.apache.sshd.server.session.SessionFactory;
import sprucelanding.front.xml.NetconfFraming;
import sprucelanding.front.xml.XmlElement;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.simulation.model.ProxyTables;

/**
 * One connection of a device to its governor, with the NETCONF session on that connection: SSH with
 * reversed roles (RFC 8071), framing, keepalives, replies and notifications. The threads of the SSH
 * library pass all events on to the device's event loop.
 */
final class DeviceConnection implements ControlChannel, DeviceOperations.Session {
    private static final String KEEPALIVE_REQUEST = "keepalive@openssh.com";
    private static final int READ_BUFFER_BYTES = 32_768;
    private static final int MAX_MESSAGE_BYTES = 16 << 20;

    /** The interval between two load notifications. */
    private static final double NOTIFICATION_INTERVAL_MILLIS = 1000;

    /** The time within which the governor has to open the NETCONF subsystem. */
    private static final double OPEN_TIMEOUT_MILLIS = 4000;

    private final SshServer server;
    private final DeviceDatastores datastores;
    private final DeviceFaults faults;
    private final EventLoop loop;
    private final int port;
    private final ProxyTables<InetSocketAddress> tables;
    private final LoadReportClient loadReports;
    private final ControlChannelListener listener;
    private final DeviceOperations operations;
    private final NetconfFraming framing = new NetconfFraming(MAX_MESSAGE_BYTES, this::onMessage);
    private final ArrayDeque<byte[]> outbound = new ArrayDeque<>();
    private final ArrayDeque<byte[]> unreadInput = new ArrayDeque<>();
    private IoSession session;
    private IoOutputStream outputStream;
    private boolean writing;
    private boolean closed;
    private boolean subscribed;
    private boolean readsPaused;

    /** Whether the session is broken, so that no further input is executed. */
    private boolean isBroken;

    private double responseDelayMillis;

    /**
     * Creates a connection that is not open.
     *
     * @param port the port of the governor on the loopback address
     */
    DeviceConnection(
            SimulatedDevice device,
            SshServer server,
            DeviceDatastores datastores,
            DeviceFaults faults,
            EventLoop loop,
            int port,
            ProxyTables<InetSocketAddress> tables,
            LoadReportClient loadReports,
            ControlChannelListener listener) {
        this.server = server;
        this.datastores = datastores;
        this.faults = faults;
        this.loop = loop;
        this.port = port;
        this.tables = tables;
        this.loadReports = loadReports;
        this.listener = listener;
        this.operations = new DeviceOperations(device, datastores, faults, loop, listener, this);
    }

    @Override
    public void open() {
        applyRunning();
        IoConnector connector =
                server.getIoServiceFactory().createConnector(new SessionFactory(server));
        connector
                .connect(new InetSocketAddress("127.0.0.1", port), null, null)
                .addListener(this::onConnectResult);
        loop.schedule(
                OPEN_TIMEOUT_MILLIS,
                () -> {
                    if (outputStream == null) {
                        fail(
                                "governor did not open the NETCONF subsystem within "
                                        + OPEN_TIMEOUT_MILLIS
                                        + " ms");
                    }
                });
    }

    private void onConnectResult(IoConnectFuture future) {
        if (future.isConnected()) {
            session = future.getSession();
            session.addCloseFutureListener(
                    ignored -> loop.tryExecute(() -> fail("SSH session closed")));
        } else {
            loop.tryExecute(() -> fail("cannot connect to the governor at port " + port));
        }
    }

    /** Checks whether the governor still answers, as RFC 8071 (section 4.1) requires of devices. */
    private void sendKeepalive() {
        if (closed || outputStream == null) {
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
            return; // the session is closing, and its close listener reports that
        }
        loop.schedule(
                KEEPALIVE_TIMEOUT_MILLIS,
                () -> {
                    if (!answered[0]) {
                        fail(
                                "governor did not answer the keepalive within "
                                        + KEEPALIVE_TIMEOUT_MILLIS
                                        + " ms");
                    } else {
                        loop.schedule(KEEPALIVE_INTERVAL_MILLIS, this::sendKeepalive);
                    }
                });
    }

    @Override
    public void breakAfterReply(String reason) {
        isBroken = true;
        loop.schedule(0, () -> fail(reason)); // after the reply
    }

    /** Closes the connection as lost, for this reason. */
    private void fail(String reason) {
        if (!closed) {
            closed = true;
            closeSession();
            listener.onBroken(reason);
        }
    }

    @Override
    public void close() {
        closed = true;
        closeSession();
    }

    private void closeSession() {
        try {
            if (session != null) {
                session.close(true);
            }
        } catch (IllegalStateException e) {
            // the device's SSH server is stopped, which has closed its connections
        }
    }

    @Override
    public void setResponseDelay(double millis) {
        responseDelayMillis = millis;
    }

    @Override
    public void rejectNext(int messages) {
        operations.rejectNext(messages);
    }

    @Override
    public void setReadsPaused(boolean enabled) {
        readsPaused = enabled;
        while (!enabled && !unreadInput.isEmpty()) {
            onBytes(unreadInput.poll());
        }
    }

    /** Returns a handler for the subsystem that the governor opens. */
    Command newSubsystem() {
        return new Subsystem();
    }

    /** The handler of the NETCONF subsystem, which connects its streams to this connection. */
    private final class Subsystem implements AsyncCommand {
        private IoInputStream input;

        @Override
        public void setIoInputStream(IoInputStream in) {
            this.input = in;
        }

        @Override
        public void setIoOutputStream(IoOutputStream out) {
            outputStream = out;
        }

        @Override
        public void setIoErrorStream(IoOutputStream err) {}

        @Override
        public void setInputStream(InputStream in) {}

        @Override
        public void setOutputStream(OutputStream out) {}

        @Override
        public void setErrorStream(OutputStream err) {}

        @Override
        public void setExitCallback(ExitCallback callback) {}

        @Override
        public void start(ChannelSession channel, Environment env) {
            loop.tryExecute(() -> write(NetconfMessages.hello()));
            loop.tryExecute(
                    () ->
                            loop.schedule(
                                    KEEPALIVE_INTERVAL_MILLIS,
                                    DeviceConnection.this::sendKeepalive));
            read(new ByteArrayBuffer(READ_BUFFER_BYTES));
        }

        private void read(ByteArrayBuffer buffer) {
            input.read(buffer)
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
            loop.tryExecute(() -> fail("NETCONF subsystem channel closed"));
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
        writeRaw(framing.frame(text));
    }

    /** Writes bytes without framing. */
    void writeRaw(byte[] bytes) {
        outbound.add(bytes);
        writeNext();
    }

    private void writeNext() {
        if (writing || closed || outbound.isEmpty()) {
            return;
        }
        writing = true;
        try {
            outputStream
                    .writeBuffer(new ByteArrayBuffer(outbound.poll()))
                    .addListener(future -> loop.tryExecute(this::onWritten));
        } catch (IOException | RuntimeException e) {
            fail(e.getMessage());
        }
    }

    private void onWritten() {
        writing = false;
        writeNext();
    }

    private void onMessage(byte[] bytes) {
        XmlElement root;
        try {
            root = XmlElement.parse(bytes);
        } catch (IOException e) {
            fail(e.getMessage());
            return;
        }
        if (root.name.equals("hello")) {
            framing.useChunkedFraming();
            return;
        }
        if (closed || isBroken) {
            return;
        }
        XmlElement operation = root.children.get(0);
        String reply = operations.execute(operation, root.attributes.getOrDefault("voice", ""));
        if (faults.consumeResponseDrop()) {
            return;
        }
        String messageId = root.attributes.getOrDefault("message-id", "");
        if (responseDelayMillis > 0) {
            loop.schedule(responseDelayMillis, () -> sendReply(messageId, operation, reply));
        } else {
            sendReply(messageId, operation, reply);
        }
    }

    private void sendReply(String messageId, XmlElement operation, String reply) {
        if (closed) {
            return;
        }
        write(NetconfMessages.reply(messageId, reply));
        if (reply.equals(NetconfMessages.OK)
                && operation.name.equals("commit")
                && operation.child("confirmed") == null) {
            listener.onAcknowledged(operations.editCount(), false);
        }
    }

    /** Replaces the clusters and routes of the proxy's tables by the running datastore. */
    @Override
    public void applyRunning() {
        datastores.running().applyTo(tables);
    }

    @Override
    public void subscribe() {
        subscribed = true;
        loadReports.notificationXml(Map.of()); // the first report interval starts here
        scheduleLoadNotification();
    }

    private void scheduleLoadNotification() {
        loop.schedule(
                NOTIFICATION_INTERVAL_MILLIS,
                () -> {
                    if (!closed && subscribed) {
                        sendNotification(
                                loadReports.notificationXml(datastores.running().endpointIds()));
                        scheduleLoadNotification();
                    }
                });
    }

    /** Sends a notification if the governor has subscribed to notifications. */
    void sendNotification(String content) {
        if (!closed && subscribed) {
            write(NetconfMessages.notification(content));
        }
    }
}
