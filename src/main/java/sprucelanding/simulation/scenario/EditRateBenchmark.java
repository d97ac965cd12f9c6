package sprucelanding.simulation.scenario;

import io.grpc.netty.shaded.io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.OutputStream;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.apache.sshd.common.config.keys.writer.openssh.OpenSSHKeyPairResourceWriter;
import sprucelanding.control.delivery.Delivery;
import sprucelanding.control.delivery.DeliveryActions;
import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.delivery.ResourceName;
import sprucelanding.control.delivery.ResourceType;
import sprucelanding.control.delivery.ResourceUpdate;
import sprucelanding.control.discovery.ListedEndpoint;
import sprucelanding.control.loadreport.LoadReport;
import sprucelanding.front.netconf.DeviceKeys;
import sprucelanding.front.netconf.NetconfFront;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.runtime.governor.CoreHandle;
import sprucelanding.runtime.governor.Front;
import sprucelanding.runtime.governor.ResourceNaming;
import sprucelanding.simulation.loopback.SimulatedDevice;
import sprucelanding.simulation.loopback.SimulatedProxy;
import sprucelanding.simulation.rules.EventTrace;

/**
 * Edits a second that the NETCONF front carries: in place of a governor a core that sends each
 * device its next edit as soon as the one before is in force. Every device has a table of its own,
 * so that one changed line is one edit at one device.
 */
public final class EditRateBenchmark implements CoreHandle, ResourceNaming, DeliveryActions {
    private static final int ENDPOINTS = 24;
    private static final int TRACE_CAPACITY = 10_000;
    private final int deviceCount;
    private final boolean removals;
    private final EventLoop loop = EventLoop.start("edit-rate");
    private final EventLoop deviceLoop = EventLoop.start("devices");
    private final NioEventLoopGroup transport = new NioEventLoopGroup(1);
    private final Delivery delivery = new Delivery(0, 10_000, 3000, 15_000, 4000);
    private final Map<String, Integer> proxyNumbers = new ConcurrentHashMap<>();
    private final Histogram latencyMicros = new Histogram(3_600_000_000L, 3);
    private final Map<Long, Double> sentAtByMessage = new ConcurrentHashMap<>();
    private NetconfFront front;
    private boolean measuring;
    private long editCount;
    private long weightSequence;
    private int configuredDevices;

    /**
     * @param removals each edit takes a line away or brings it back, so that every other goes
     *     without a trial
     */
    public EditRateBenchmark(int count, boolean removals) {
        this.deviceCount = count;
        this.removals = removals;
    }

    /** One line with the figures. */
    public String run(double durationMillis) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("edits");
        KeyPair ownKey = SimulatedDevice.generateKey();
        Path key =
                Files.createFile(
                        folder.resolve("key"),
                        PosixFilePermissions.asFileAttribute(
                                PosixFilePermissions.fromString("rw-------")));
        try (OutputStream out = Files.newOutputStream(key)) {
            OpenSSHKeyPairResourceWriter.INSTANCE.writePrivateKey(ownKey, "own", null, out);
        } catch (GeneralSecurityException e) {
            throw new IOException(e);
        }
        List<SimulatedDevice> devices = new ArrayList<>();
        StringBuilder pins = new StringBuilder();
        for (int i = 0; i < deviceCount; i++) {
            devices.add(
                    new SimulatedDevice(
                            "device-" + i,
                            "north",
                            1,
                            ownKey.getPublic(),
                            SimulatedDevice.generateKey()));
            pins.append(devices.get(i).knownHostLine()).append('\n');
        }
        Files.writeString(folder.resolve("pins"), pins);
        front =
                new NetconfFront(
                        this,
                        this,
                        "edit-rate",
                        new InetSocketAddress("127.0.0.1", 0),
                        new DeviceKeys(key, folder.resolve("pins")),
                        "sprucelanding",
                        1 << 20,
                        new NetconfFront.EditLimits(3000, 5000, 10_000, Math.max(32, deviceCount)));
        front.start();
        List<SimulatedProxy> proxies = new ArrayList<>();
        for (int i = 0; i < deviceCount; i++) {
            SimulatedProxy proxy =
                    new SimulatedProxy(
                            deviceLoop,
                            transport,
                            i,
                            0,
                            "north",
                            1,
                            List.of("read"),
                            List.of(new SimulatedProxy.GovernorAddress(0, front.port())),
                            new SimulatedProxy.ProxyOptions("two", 5, 1000, 250, 100, 300, true),
                            null,
                            new EventTrace(TRACE_CAPACITY),
                            i);
            proxy.attachDevice(devices.get(i));
            proxies.add(proxy);
            deviceLoop.tryExecute(() -> proxy.start(List.of()));
        }
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
        while (configuredDevices < deviceCount && System.nanoTime() < deadlineNanos) {
            Thread.sleep(50);
        }
        Thread.sleep(3000); // code warms up
        var operatingSystem =
                (com.sun.management.OperatingSystemMXBean)
                        ManagementFactory.getOperatingSystemMXBean();
        long cpuNanosBefore = operatingSystem.getProcessCpuTime();
        loop.tryExecute(() -> measuring = true);
        Thread.sleep((long) durationMillis);
        loop.tryExecute(() -> measuring = false);
        double cores =
                (operatingSystem.getProcessCpuTime() - cpuNanosBefore) / 1e6 / durationMillis;
        String line =
                String.format(
                        Locale.ROOT,
                        "%4d devices, %s: %6.0f edits a second, in force p50 %.1f ms, p99 %.1f ms, "
                                + "%.1f cores (stand-ins included), %d of %d laid%n",
                        deviceCount,
                        removals ? "removals" : "weights",
                        editCount * 1000 / durationMillis,
                        latencyMicros.getValueAtPercentile(50) / 1000.0,
                        latencyMicros.getValueAtPercentile(99) / 1000.0,
                        cores,
                        configuredDevices,
                        deviceCount);
        proxies.forEach(proxy -> deviceLoop.tryExecute(proxy::crash));
        for (SimulatedDevice device : devices) {
            device.stop();
        }
        front.close();
        deviceLoop.close();
        loop.close();
        transport.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        return line;
    }

    private void flushDelivery() {
        delivery.batchEnded();
        while (delivery.decide(this)) {
            continue;
        }
    }

    private void sendNextEdit(ProxyStream stream) {
        long endpoint = 1 + (editCount + stream.proxyId) % ENDPOINTS;
        boolean removes =
                removals && stream.hasAcknowledged(ResourceName.entry(stream.proxyId, endpoint));
        delivery.setEntry(stream.proxyId, endpoint, removes ? 0 : 1 + weightSequence++ % 1_000_000);
        flushDelivery();
    }

    @Override
    public boolean proxyConnected(
            Front from,
            ProxyStream stream,
            String zone,
            double expectedLoad,
            boolean withoutTables) {
        return loop.tryExecute(
                () -> {
                    delivery.setTime(EventLoop.nowMillis());
                    delivery.streamAdmitted(stream);
                    for (long endpoint = 1; endpoint <= ENDPOINTS; endpoint++) {
                        delivery.setEntry(stream.proxyId, endpoint, 100);
                    }
                    delivery.bind(stream.proxyId, stream.proxyId, List.of(0));
                    configuredDevices++;
                    flushDelivery();
                });
    }

    @Override
    public boolean proxyDisconnected(ProxyStream stream) {
        return loop.tryExecute(
                () -> {
                    delivery.proxyDisconnected(stream.proxyId);
                    configuredDevices--;
                });
    }

    @Override
    public boolean subscriptionChanged(
            ProxyStream stream, ResourceType kind, int table, boolean on) {
        return loop.tryExecute(() -> delivery.subscribed(stream, kind, table));
    }

    @Override
    public boolean resourcesHeld(ProxyStream stream, Map<ResourceName, String> versions) {
        return allResourcesHeld(stream, versions);
    }

    @Override
    public boolean allResourcesHeld(ProxyStream stream, Map<ResourceName, String> versions) {
        return loop.tryExecute(
                () -> {
                    delivery.fullStateRead(stream, versions);
                    flushDelivery();
                });
    }

    @Override
    public boolean updateAnswered(ProxyStream stream, long message, String rejection) {
        return loop.tryExecute(
                () -> {
                    delivery.setTime(EventLoop.nowMillis());
                    delivery.updateAccepted(stream, message);
                    Double sentAt = sentAtByMessage.remove(message);
                    if (measuring && sentAt != null) {
                        editCount++;
                        latencyMicros.recordValue((long) ((EventLoop.nowMillis() - sentAt) * 1000));
                    } else {
                        editCount += measuring ? 1 : 0;
                    }
                    sendNextEdit(stream);
                });
    }

    @Override
    public boolean loadReported(LoadReport report) {
        return true;
    }

    @Override
    public int proxyId(String proxy) {
        return proxyNumbers.computeIfAbsent(proxy, name -> proxyNumbers.size());
    }

    @Override
    public void updateWritten(Front from, ResourceUpdate message, double at, long bytes) {}

    @Override
    public List<String> requestClassNames() {
        return List.of("read");
    }

    @Override
    public ListedEndpoint endpoint(long id) {
        return new ListedEndpoint(id, "127.0.0.1", 9, 0, 0, 1, 0, ListedEndpoint.State.READY);
    }

    @Override
    public long endpointIdAt(String host, int port) {
        return 0;
    }

    @Override
    public boolean admitsByRate() {
        return false;
    }

    @Override
    public void send(ResourceUpdate message) {
        sentAtByMessage.put(message.id, EventLoop.nowMillis());
        front.send(message, this);
    }

    @Override
    public void closeStream(ProxyStream stream, String reason) {
        front.endStream(stream, false, reason);
    }

    @Override
    public void acknowledged(ProxyStream stream, int serial) {}

    @Override
    public void log(String text, Object... figures) {}
}
