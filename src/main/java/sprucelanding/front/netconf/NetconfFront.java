package sprucelanding.front.netconf;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.security.PublicKey;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Predicate;
import org.apache.sshd.client.SshClient;
import org.apache.sshd.client.channel.ChannelSubsystem;
import org.apache.sshd.client.channel.ClientChannel;
import org.apache.sshd.client.session.ClientSession;
import org.apache.sshd.client.session.SessionFactory;
import org.apache.sshd.common.AttributeRepository;
import org.apache.sshd.common.io.IoAcceptor;
import org.apache.sshd.common.io.IoInputStream;
import org.apache.sshd.common.io.IoReadFuture;
import org.apache.sshd.common.session.Session;
import org.apache.sshd.common.session.SessionListener;
import org.apache.sshd.common.util.buffer.ByteArrayBuffer;
import org.apache.sshd.core.CoreModuleProperties;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.delivery.ResourceName;
import sprucelanding.control.delivery.ResourceUpdate;
import sprucelanding.control.edits.DeviceEditSession;
import sprucelanding.control.edits.EditScheduler;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.runtime.governor.CoreHandle;
import sprucelanding.runtime.governor.Front;
import sprucelanding.runtime.governor.ResourceNaming;

/**
 * Devices dial in, and the governor is the SSH and NETCONF client on what they opened (RFC 8071,
 * section 3.1). A device is who its host key says it is. One loop of the front's own decides for
 * all devices; the SSH library's threads hand over to it.
 */
public final class NetconfFront implements Front {
    /**
     * How devices are treated.
     *
     * @param answers ms until an operation counts as unanswered
     * @param confirms ms until a device takes back a commit on trial
     * @param locks ms until a lock held by others is given up
     * @param atOnce devices that are edited at a time, removals aside
     */
    public record EditLimits(
            double replyTimeoutMillis,
            double confirmTimeoutMillis,
            double lockTimeoutMillis,
            int maxConcurrentEdits) {}

    private static final Logger LOG = LoggerFactory.getLogger(NetconfFront.class);
    private static final int READ_BUFFER_BYTES = 32_768;
    private static final int MAX_PENDING_WRITES = 64;
    private static final AttributeRepository.AttributeKey<String> DEVICE_NAME =
            new AttributeRepository.AttributeKey<>();

    private final CoreHandle core;
    private final ResourceNaming naming;
    private final String identifier;
    private final InetSocketAddress bindAddress;
    private final DeviceKeys keys;
    private final String userName;
    private final int maxMessageBytes;
    private final EditLimits limits;
    private final EventLoop loop = new EventLoop("netconf");
    private final SshClient sshClient = SshClient.setUpDefaultClient();
    private final Map<String, Device> devicesByName = new HashMap<>();

    /** By number, edits that wait for their device's turn. */
    private final Map<Integer, ResourceUpdate> pendingEditsByProxyId = new HashMap<>();

    private final EditScheduler editScheduler;
    private IoAcceptor acceptor;
    private volatile boolean closed;

    /**
     * @param largest bytes of a message from a device
     */
    public NetconfFront(
            CoreHandle core,
            ResourceNaming naming,
            String identifier,
            InetSocketAddress bindAddress,
            DeviceKeys keys,
            String userName,
            int maxMessageBytes,
            EditLimits limits) {
        this.core = core;
        this.naming = naming;
        this.identifier = identifier;
        this.bindAddress = bindAddress;
        this.keys = keys;
        this.userName = userName;
        this.maxMessageBytes = maxMessageBytes;
        this.limits = limits;
        this.editScheduler =
                new EditScheduler(limits.maxConcurrentEdits, limits.replyTimeoutMillis);
    }

    /** Throws IOException if it cannot listen, or its key cannot be used. */
    public void start() throws IOException {
        keys.ownKey();
        Thread thread = new Thread(loop, "netconf");
        thread.setDaemon(true);
        thread.start();
        CoreModuleProperties.TCP_NODELAY.set(
                sshClient, true); // small messages back and forth must not wait for each other
        sshClient.setServerKeyVerifier(this::verifyHostKey);
        sshClient.start();
        sshClient.addSessionListener(
                new SessionListener() {
                    @Override
                    public void sessionEvent(Session session, Event event) {
                        if (event == Event.KeyEstablished) {
                            authenticate((ClientSession) session);
                        }
                    }
                });
        acceptor = sshClient.getIoServiceFactory().createAcceptor(new SessionFactory(sshClient));
        acceptor.bind(bindAddress);
        LOG.atInfo()
                .setMessage("netconf is served")
                .addKeyValue("at", bindAddress)
                .addKeyValue("port", port())
                .log();
    }

    public int port() {
        return ((InetSocketAddress) acceptor.getBoundAddresses().iterator().next()).getPort();
    }

    private boolean verifyHostKey(
            ClientSession session, SocketAddress remoteAddress, PublicKey key) {
        try {
            String device = keys.deviceFor(key);
            if (device == null) {
                LOG.atWarn()
                        .setMessage("a device is refused: its host key is not known")
                        .addKeyValue("from", remoteAddress)
                        .log();
                return false;
            }
            session.setAttribute(DEVICE_NAME, device);
            return true;
        } catch (IOException e) {
            LOG.atError().setMessage("host keys cannot be read").setCause(e).log();
            return false;
        }
    }

    private void authenticate(ClientSession session) {
        try {
            session.setUsername(userName);
            session.addPublicKeyIdentity(keys.ownKey());
            session.auth()
                    .addListener(
                            auth -> {
                                if (auth.isSuccess()) {
                                    openNetconfSubsystem(session);
                                } else {
                                    LOG.atWarn()
                                            .setMessage("a device does not let us in")
                                            .addKeyValue(
                                                    "device", session.getAttribute(DEVICE_NAME))
                                            .log();
                                    session.close(true);
                                }
                            });
        } catch (IOException e) {
            LOG.atError().setMessage("the own key cannot be used").setCause(e).log();
            session.close(true);
        }
    }

    private void openNetconfSubsystem(ClientSession session) {
        try {
            ChannelSubsystem channel = session.createSubsystemChannel("netconf");
            channel.setStreaming(ClientChannel.Streaming.Async);
            channel.open()
                    .addListener(
                            opened -> {
                                if (opened.isOpened()) {
                                    new SshTransport(session, channel).start();
                                } else {
                                    session.close(true);
                                }
                            });
        } catch (IOException e) {
            session.close(true);
        }
    }

    /** A session's channel: bytes in come to the loop, bytes out leave one after the other. */
    private final class SshTransport implements Device.Transport {
        private final ClientSession session;
        private final ChannelSubsystem channel;
        private final ArrayDeque<byte[]> outgoing = new ArrayDeque<>();
        private boolean writing;

        SshTransport(ClientSession session, ChannelSubsystem channel) {
            this.session = session;
            this.channel = channel;
        }

        void start() {
            String name = session.getAttribute(DEVICE_NAME);
            session.addCloseFutureListener(
                    future ->
                            retryUntilAccepted(
                                    () -> loop.tryExecute(() -> device(name).onSessionLost(this))));
            retryUntilAccepted(() -> loop.tryExecute(() -> device(name).onSessionOpened(this)));
            readNext(name, channel.getAsyncOut(), new ByteArrayBuffer(READ_BUFFER_BYTES));
        }

        private void readNext(String name, IoInputStream in, ByteArrayBuffer buffer) {
            in.read(buffer)
                    .addListener(
                            (IoReadFuture future) -> {
                                if (future.getException() != null) {
                                    session.close(true);
                                    return;
                                }
                                byte[] bytes = buffer.getCompactData();
                                retryUntilAccepted(
                                        () ->
                                                loop.tryExecute(
                                                        () -> device(name).onBytes(this, bytes)));
                                readNext(
                                        name,
                                        in,
                                        new ByteArrayBuffer(
                                                READ_BUFFER_BYTES)); // the next only once the loop
                                // has taken
                                // this one
                            });
        }

        @Override
        public void write(byte[] bytes) {
            if (outgoing.size() >= MAX_PENDING_WRITES) {
                close("the device does not read");
                return;
            }
            outgoing.add(bytes);
            writeNext();
        }

        private void writeNext() {
            if (writing || outgoing.isEmpty()) {
                return;
            }
            writing = true;
            try {
                channel.getAsyncIn()
                        .writeBuffer(new ByteArrayBuffer(outgoing.poll()))
                        .addListener(
                                future ->
                                        loop.tryExecute(
                                                () -> {
                                                    writing = false;
                                                    writeNext();
                                                }));
            } catch (IOException | RuntimeException e) {
                close(e.getMessage());
            }
        }

        @Override
        public void close(String reason) {
            session.close(true);
        }
    }

    private Device device(String name) {
        return devicesByName.computeIfAbsent(
                name,
                deviceName ->
                        new Device(
                                this,
                                naming,
                                deviceName,
                                core.proxyId(deviceName),
                                new DeviceEditSession(
                                        limits.replyTimeoutMillis,
                                        limits.confirmTimeoutMillis,
                                        limits.lockTimeoutMillis)));
    }

    EventLoop loop() {
        return loop;
    }

    int maxMessageBytes() {
        return maxMessageBytes;
    }

    double confirmTimeoutMillis() {
        return limits.confirmTimeoutMillis;
    }

    boolean sharesFleet() {
        return core.isFleetShared();
    }

    String identifier() {
        return identifier;
    }

    void editWritten(ResourceUpdate edit, long bytes) {
        core.updateWritten(this, edit, EventLoop.nowMillis(), bytes);
    }

    /** Until the core has taken it; this holds up devices, never the core. */
    void notifyCore(Predicate<CoreHandle> call) {
        retryUntilAccepted(() -> call.test(core));
    }

    private void retryUntilAccepted(java.util.function.BooleanSupplier call) {
        while (!call.getAsBoolean() && !closed) {
            LockSupport.parkNanos(1_000_000);
        }
    }

    @Override
    public String name() {
        return "netconf";
    }

    @Override
    public void send(ResourceUpdate edit, ResourceNaming naming) {
        EditScheduler.Priority rank =
                edit.hasRemovals()
                        ? EditScheduler.Priority
                                .REMOVAL // what it holds may be looked at on the core's thread only
                        : edit.stream.hasAcknowledged(ResourceName.ROUTE)
                                ? EditScheduler.Priority.ORDINARY
                                : EditScheduler.Priority.FIRST;
        boolean accepted =
                loop.tryExecute(
                        () -> {
                            Device device = (Device) edit.stream.transport;
                            pendingEditsByProxyId.put(device.proxyId, edit);
                            editScheduler.setTime(EventLoop.nowMillis());
                            editScheduler.request(device.proxyId, rank);
                            startScheduledEdits();
                        });
        if (!accepted) {
            core.proxyDisconnected(edit.stream);
        }
    }

    /** A device's edit ended, however: others may be served. */
    void editEnded(int proxyId) {
        editScheduler.setTime(EventLoop.nowMillis());
        pendingEditsByProxyId.remove(proxyId);
        editScheduler.release(proxyId);
        startScheduledEdits();
    }

    private void startScheduledEdits() {
        while (editScheduler.decide(
                proxyId -> {
                    ResourceUpdate edit = pendingEditsByProxyId.remove(proxyId);
                    if (edit == null || !((Device) edit.stream.transport).submitEdit(edit)) {
                        loop.schedule(0, () -> editEnded(proxyId));
                    }
                })) {
            continue;
        }
    }

    @Override
    public void endStream(ProxyStream proxyStream, boolean busy, String reason) {
        loop.tryExecute(() -> ((Device) proxyStream.transport).closeSession(reason));
    }

    @Override
    public void close() {
        closed = true;
        if (acceptor != null) {
            acceptor.close(true);
        }
        sshClient.stop();
        loop.close();
    }
}
