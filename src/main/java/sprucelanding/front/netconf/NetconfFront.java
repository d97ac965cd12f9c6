package sprucelanding.front.netconf;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.delivery.ResourceUpdate;
import sprucelanding.control.edits.DeviceEditSession;
import sprucelanding.control.edits.EditScheduler;
import sprucelanding.front.CoreNotifier;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.runtime.governor.CoreHandle;
import sprucelanding.runtime.governor.Front;
import sprucelanding.runtime.governor.ResourceNaming;

/**
 * The front for devices that speak NETCONF. Devices call home, and the governor is the client on
 * the connections that they open. One event loop, on a thread named netconf, handles all devices.
 * The SSH library's threads pass events to that loop.
 */
public final class NetconfFront implements Front {
    /**
     * Time limits and concurrency of edits.
     *
     * @param replyTimeoutMillis ms until an operation counts as unanswered
     * @param confirmTimeoutMillis ms until a device reverts an unconfirmed commit
     * @param lockTimeoutMillis ms until the governor stops waiting for a lock of another session
     * @param maxConcurrentEdits number of devices that are edited concurrently; edits with removals
     *     are not counted
     */
    public record EditLimits(
            double replyTimeoutMillis,
            double confirmTimeoutMillis,
            double lockTimeoutMillis,
            int maxConcurrentEdits) {}

    private static final Logger LOG = LoggerFactory.getLogger(NetconfFront.class);
    private static final String NAME = "netconf";

    private final CoreHandle core;
    private final ResourceNaming naming;
    private final String identifier;
    private final InetSocketAddress bindAddress;
    private final DeviceKeys keys;
    private final int maxMessageBytes;
    private final EditLimits limits;
    private final EventLoop loop = new EventLoop(NAME);
    private final CoreNotifier notifier = new CoreNotifier();
    private final CallHomeListener listener;
    private final DeviceEditQueue editQueue;

    /** Used on the event loop only. */
    private final Map<String, Device> devicesByName = new HashMap<>();

    /**
     * Creates a front that doesn't listen yet.
     *
     * @param core receives what devices hold and report
     * @param naming names of request classes and addresses of endpoints
     * @param identifier name under which devices know this governor
     * @param bindAddress address to listen on
     * @param keys the governor's private key and the devices' pinned host keys
     * @param userName the user to authenticate as
     * @param maxMessageBytes the largest message that is accepted from a device
     * @param limits time limits and concurrency of edits
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
        this.maxMessageBytes = maxMessageBytes;
        this.limits = limits;
        this.listener =
                new CallHomeListener(
                        keys,
                        userName,
                        (deviceName, session, channel) ->
                                new SshTransport(this, deviceName, session, channel).start());
        this.editQueue =
                new DeviceEditQueue(
                        loop,
                        new EditScheduler(limits.maxConcurrentEdits, limits.replyTimeoutMillis));
    }

    /**
     * Starts the event loop's thread and listens for devices.
     *
     * @throws IOException if the address can't be bound, or the governor's private key can't be
     *     used
     */
    public void start() throws IOException {
        keys.ownKey();
        Thread thread = new Thread(loop, NAME);
        thread.setDaemon(true);
        thread.start();
        listener.listen(bindAddress);
        LOG.atInfo()
                .setMessage("the NETCONF front is listening")
                .addKeyValue("at", bindAddress)
                .addKeyValue("port", port())
                .log();
    }

    /** Returns the port that the front listens on. */
    public int port() {
        return listener.port();
    }

    /** Returns the device of a name, which is created at the first call. Used on the event loop. */
    Device device(String name) {
        return devicesByName.computeIfAbsent(name, this::newDevice);
    }

    private Device newDevice(String name) {
        DeviceEditSession editSession =
                new DeviceEditSession(
                        limits.replyTimeoutMillis,
                        limits.confirmTimeoutMillis,
                        limits.lockTimeoutMillis);
        return new Device(this, naming, name, core.proxyId(name), editSession);
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

    boolean isFleetShared() {
        return core.isFleetShared();
    }

    String identifier() {
        return identifier;
    }

    void editWritten(ResourceUpdate edit, long bytes) {
        core.updateWritten(this, edit, EventLoop.nowMillis(), bytes);
    }

    /** Waits until the core has accepted a notification; this delays devices, never the core. */
    void notifyCore(Predicate<CoreHandle> notification) {
        awaitAccepted(() -> notification.test(core));
    }

    /** Repeats a call until it is accepted or the front is closed. */
    void awaitAccepted(BooleanSupplier call) {
        notifier.awaitAccepted(call);
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void send(ResourceUpdate edit, ResourceNaming resourceNaming) {
        EditScheduler.Priority priority = DeviceEditQueue.priorityOf(edit);
        boolean accepted = loop.tryExecute(() -> editQueue.add(edit, priority));
        if (!accepted) {
            core.proxyDisconnected(edit.stream);
        }
    }

    /** Handles the end of a device's edit, successful or not. Called on the event loop. */
    void editEnded(int proxyId) {
        editQueue.editEnded(proxyId);
    }

    @Override
    public void endStream(ProxyStream proxyStream, boolean busy, String reason) {
        loop.tryExecute(() -> ((Device) proxyStream.transport).closeSession(reason));
    }

    @Override
    public void close() {
        notifier.close();
        listener.close();
        loop.close();
    }
}
