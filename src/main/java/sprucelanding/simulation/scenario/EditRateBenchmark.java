package sprucelanding.simulation.scenario;

import com.sun.management.OperatingSystemMXBean;
import io.grpc.netty.shaded.io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyPair;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import sprucelanding.front.netconf.DeviceKeys;
import sprucelanding.front.netconf.NetconfFront;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.simulation.loopback.SimulatedDevice;
import sprucelanding.simulation.loopback.SimulatedProxy;
import sprucelanding.simulation.rules.EventTrace;

/**
 * A benchmark that measures how many edits per second the NETCONF front carries. In place of a
 * governor's core, a {@link SequentialEditCore} sends each device its next edit as soon as the
 * previous edit is in force. An instance runs once, on the calling thread.
 */
public final class EditRateBenchmark {
    private static final int TRACE_CAPACITY = 10_000;
    private static final int CONNECT_TIMEOUT_SECONDS = 60;
    private static final int CONNECT_CHECK_INTERVAL_MILLIS = 50;

    /** Time before the measurement in which the JVM compiles the code. */
    private static final int WARMUP_MILLIS = 3000;

    private static final int MAX_MESSAGE_BYTES = 1 << 20;
    private static final int MIN_CONCURRENT_EDITS = 32;

    private final int deviceCount;
    private final SequentialEditCore.EditKind editKind;
    private final SequentialEditCore core;
    private final EventLoop deviceLoop = EventLoop.start("devices");
    private final NioEventLoopGroup transport = new NioEventLoopGroup(1);
    private final List<SimulatedDevice> devices = new ArrayList<>();
    private final List<SimulatedProxy> proxies = new ArrayList<>();

    /**
     * Creates a benchmark and starts its threads.
     *
     * @param count number of devices
     * @param removals whether edits remove entries and add them again, so that every second edit is
     *     sent without a confirmed-commit trial; otherwise edits change weights
     */
    public EditRateBenchmark(int count, boolean removals) {
        this.deviceCount = count;
        this.editKind =
                removals ? SequentialEditCore.EditKind.REMOVAL : SequentialEditCore.EditKind.WEIGHT;
        this.core = new SequentialEditCore(editKind);
    }

    /**
     * Runs the benchmark and returns one line with the figures.
     *
     * @param durationMillis time during which edits are counted
     */
    public String run(double durationMillis) throws IOException, InterruptedException {
        NetconfFront front = startFront();
        startProxies(front.port());
        awaitDevices();
        Thread.sleep(WARMUP_MILLIS);
        OperatingSystemMXBean operatingSystem =
                (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        long cpuNanosBefore = operatingSystem.getProcessCpuTime();
        core.startMeasuring();
        Thread.sleep((long) durationMillis);
        core.stopMeasuring();
        double cores =
                (operatingSystem.getProcessCpuTime() - cpuNanosBefore) / 1e6 / durationMillis;
        String resultLine = formatResult(durationMillis, cores);
        stop(front);
        return resultLine;
    }

    private NetconfFront startFront() throws IOException {
        Path folder = Files.createTempDirectory("edits");
        KeyPair governorKey = SimulatedDevice.generateKey();
        Path keyFile = folder.resolve("key");
        PrivateFiles.writeKey(keyFile, governorKey, "own");
        StringBuilder knownHostLines = new StringBuilder();
        for (int i = 0; i < deviceCount; i++) {
            SimulatedDevice device =
                    new SimulatedDevice(
                            "device-" + i,
                            "north",
                            1,
                            governorKey.getPublic(),
                            SimulatedDevice.generateKey());
            devices.add(device);
            knownHostLines.append(device.knownHostLine()).append('\n');
        }
        Files.writeString(folder.resolve("pins"), knownHostLines);
        int concurrentEdits = Math.max(MIN_CONCURRENT_EDITS, deviceCount);
        NetconfFront front =
                new NetconfFront(
                        core,
                        core,
                        "edit-rate",
                        new InetSocketAddress("127.0.0.1", 0),
                        new DeviceKeys(keyFile, folder.resolve("pins")),
                        "sprucelanding",
                        MAX_MESSAGE_BYTES,
                        new NetconfFront.EditLimits(3000, 5000, 10_000, concurrentEdits));
        core.attach(front);
        front.start();
        return front;
    }

    private void startProxies(int frontPort) {
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
                            List.of(new SimulatedProxy.GovernorAddress(0, frontPort)),
                            new SimulatedProxy.ProxyOptions("two", 5, 1000, 250, 100, 300, true),
                            null,
                            new EventTrace(TRACE_CAPACITY),
                            i);
            proxy.attachDevice(devices.get(i));
            proxies.add(proxy);
            deviceLoop.tryExecute(() -> proxy.start(List.of()));
        }
    }

    private void awaitDevices() throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(CONNECT_TIMEOUT_SECONDS);
        while (core.configuredDevices() < deviceCount && System.nanoTime() < deadlineNanos) {
            Thread.sleep(CONNECT_CHECK_INTERVAL_MILLIS);
        }
    }

    private String formatResult(double durationMillis, double cores) {
        return String.format(
                Locale.ROOT,
                "%4d devices, %s: %6.0f edits a second, in force p50 %.1f ms, p99 %.1f ms, "
                        + "%.1f cores (simulated devices included), %d of %d devices configured%n",
                deviceCount,
                editKind == SequentialEditCore.EditKind.REMOVAL ? "removals" : "weights",
                core.editCount() * 1000 / durationMillis,
                core.latencyMicros().getValueAtPercentile(50) / 1000.0,
                core.latencyMicros().getValueAtPercentile(99) / 1000.0,
                cores,
                core.configuredDevices(),
                deviceCount);
    }

    private void stop(NetconfFront front) throws IOException {
        proxies.forEach(proxy -> deviceLoop.tryExecute(proxy::crash));
        for (SimulatedDevice device : devices) {
            device.stop();
        }
        front.close();
        deviceLoop.close();
        core.close();
        transport.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
