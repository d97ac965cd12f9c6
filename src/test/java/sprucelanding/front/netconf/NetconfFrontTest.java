package sprucelanding.front.netconf;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.grpc.netty.shaded.io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.KeyPair;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.apache.sshd.common.config.keys.writer.openssh.OpenSSHKeyPairResourceWriter;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import sprucelanding.control.discovery.ListedEndpoint;
import sprucelanding.simulation.loopback.SimulatedDevice;
import sprucelanding.simulation.loopback.SimulatedProxy;
import sprucelanding.testing.ScenarioRig;

/** Tests the NETCONF front with simulated devices over SSH: configuration, faults and keys. */
@Timeout(90)
class NetconfFrontTest {
    /** Time within which a removed endpoint gets no more requests. */
    private static final double GRACE_MILLIS = 10_000;

    @TempDir private Path folder;
    private final KeyPair governorKey = SimulatedDevice.generateKey();
    private final NioEventLoopGroup transport = new NioEventLoopGroup(1);
    private final List<SimulatedDevice> devices = new ArrayList<>();
    private final List<SimulatedProxy> proxies = new ArrayList<>();
    private ScenarioRig rig;

    @BeforeEach
    void startRig() throws Exception {
        Path key = folder.resolve("key");
        Files.createFile(
                key,
                PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
        writeGovernorKey(governorKey);
        Files.writeString(folder.resolve("devices"), "");
        rig = new ScenarioRig(4, 64, new DeviceKeys(key, folder.resolve("devices")));
    }

    private void writeGovernorKey(KeyPair pair) throws Exception {
        try (OutputStream out = Files.newOutputStream(folder.resolve("key"))) {
            OpenSSHKeyPairResourceWriter.INSTANCE.writePrivateKey(pair, "x", null, out);
        }
    }

    @AfterEach
    void stopAll() throws Exception {
        proxies.forEach(proxy -> rig.loop.tryExecute(proxy::crash));
        for (SimulatedDevice simulatedDevice : devices) {
            simulatedDevice.stop();
        }
        rig.close();
        transport.shutdownGracefully();
    }

    private SimulatedDevice startDevice(int number, KeyPair acceptedKey, boolean pinned)
            throws IOException {
        SimulatedDevice simulatedDevice =
                new SimulatedDevice(
                        "device-" + number,
                        "north",
                        1,
                        acceptedKey.getPublic(),
                        SimulatedDevice.generateKey());
        devices.add(simulatedDevice);
        if (pinned) {
            StringBuilder pinnedKeys = new StringBuilder("# devices that may connect\n");
            devices.forEach(each -> pinnedKeys.append(each.knownHostLine()).append('\n'));
            Files.writeString(folder.resolve("devices"), pinnedKeys);
            Files.setLastModifiedTime(
                    folder.resolve("devices"), FileTime.fromMillis(1_000_000 + number));
        }
        SimulatedProxy proxy =
                new SimulatedProxy(
                        rig.loop,
                        transport,
                        number,
                        0,
                        "north",
                        1,
                        List.of("read"),
                        List.of(new SimulatedProxy.GovernorAddress(0, rig.netconf.port())),
                        new SimulatedProxy.ProxyOptions("two", 5, 1000, 250, 100, 300, true),
                        null,
                        rig.trace,
                        number);
        proxy.attachDevice(simulatedDevice);
        proxies.add(proxy);
        rig.loop.tryExecute(() -> proxy.start(List.of()));
        return simulatedDevice;
    }

    private static void await(String description, BooleanSupplier done)
            throws InterruptedException {
        long deadlineNanos = System.nanoTime() + 30_000_000_000L;
        while (!done.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadlineNanos, "not within 30 s: " + description);
            Thread.sleep(20);
        }
    }

    private boolean isConfigured(SimulatedDevice simulatedDevice) {
        return simulatedDevice.hasRoutes()
                && rig.endpoints.stream()
                        .allMatch(endpoint -> simulatedDevice.entryText(0, endpoint.id) != null);
    }

    private void removeEndpoint(int endpointIndex) {
        rig.loop.tryExecute(
                () ->
                        rig.discovery.scheduleUpdate(
                                List.of(rig.endpoints.get(endpointIndex)),
                                ListedEndpoint.State.GONE,
                                0));
    }

    @Test
    void deviceIsConfiguredAndRemovalReachesIt() throws Exception {
        SimulatedDevice simulatedDevice = startDevice(1, governorKey, true);
        await("configured", () -> isConfigured(simulatedDevice));
        removeEndpoint(0);
        await("removed", () -> simulatedDevice.entryText(0, rig.endpoints.get(0).id) == null);
    }

    @Test
    void missingReplyIsResolvedByReadingBackAndTheEditIsNotLost() throws Exception {
        SimulatedDevice simulatedDevice = startDevice(1, governorKey, true);
        await("configured", () -> isConfigured(simulatedDevice));
        rig.loop.tryExecute(() -> simulatedDevice.dropResponses(3));
        removeEndpoint(1);
        await("removed", () -> simulatedDevice.entryText(0, rig.endpoints.get(1).id) == null);
        removeEndpoint(2);
        await(
                "the next endpoint is removed as well",
                () -> simulatedDevice.entryText(0, rig.endpoints.get(2).id) == null);
    }

    @Test
    void foreignLockIsWaitedForAndForeignEntriesAreRemoved() throws Exception {
        SimulatedDevice simulatedDevice = startDevice(1, governorKey, true);
        await("configured", () -> isConfigured(simulatedDevice));
        rig.loop.tryExecute(() -> simulatedDevice.lockFor(1500));
        rig.loop.tryExecute(simulatedDevice::driftConfiguration);
        await("foreign entry present", () -> simulatedDevice.entryText(0, 4_000_000_000L) != null);
        removeEndpoint(3);
        await("removed", () -> simulatedDevice.entryText(0, rig.endpoints.get(3).id) == null);
        await("foreign entry removed", () -> simulatedDevice.entryText(0, 4_000_000_000L) == null);
    }

    @Test
    void unknownHostKeyIsRejectedUntilItIsPinnedAtRunTime() throws Exception {
        SimulatedDevice unknown = startDevice(1, governorKey, false);
        SimulatedDevice known = startDevice(2, governorKey, false);
        Thread.sleep(1500);
        assertFalse(unknown.hasRoutes());
        Files.writeString(folder.resolve("devices"), known.knownHostLine() + "\n");
        await("the pinned device is configured", () -> isConfigured(known));
        assertFalse(unknown.hasRoutes());
    }

    @Test
    void governorKeyIsReplacedAtRunTime() throws Exception {
        SimulatedDevice first = startDevice(1, governorKey, true);
        await("configured", () -> isConfigured(first));
        KeyPair next = SimulatedDevice.generateKey();
        writeGovernorKey(next);
        Files.setLastModifiedTime(folder.resolve("key"), FileTime.fromMillis(2_000_000));
        SimulatedDevice second = startDevice(2, next, true);
        await("configured with the new key", () -> isConfigured(second));
        removeEndpoint(0);
        await(
                "removed in the older session",
                () -> first.entryText(0, rig.endpoints.get(0).id) == null);
    }

    @Test
    void malformedAndOversizedMessagesEndOnlyThatSessionAndTheDeviceReconnects() throws Exception {
        SimulatedDevice bad = startDevice(1, governorKey, true);
        SimulatedDevice good = startDevice(2, governorKey, true);
        await("both configured", () -> isConfigured(bad) && isConfigured(good));
        rig.loop.tryExecute(
                () -> bad.sendGarbled("\n#7\n<a><b>x\n##\n".getBytes(StandardCharsets.US_ASCII)));
        removeEndpoint(0);
        await("removed at the other", () -> good.entryText(0, rig.endpoints.get(0).id) == null);
        await(
                "removed after the faulty device has reconnected",
                () -> bad.entryText(0, rig.endpoints.get(0).id) == null);
        rig.loop.tryExecute(
                () ->
                        bad.sendGarbled(
                                ("\n#60000\n" + "x".repeat(60_000))
                                        .repeat(4)
                                        .getBytes(StandardCharsets.US_ASCII)));
        removeEndpoint(1);
        await(
                "removed at both devices after an oversized message",
                () ->
                        bad.entryText(0, rig.endpoints.get(1).id) == null
                                && good.entryText(0, rig.endpoints.get(1).id) == null);
    }

    @Test
    void removalReachesDeviceWhileFortyOthersAreConfigured() throws Exception {
        SimulatedDevice simulatedDevice = startDevice(100, governorKey, true);
        await("configured", () -> isConfigured(simulatedDevice));
        for (int i = 0; i < 40; i++) {
            startDevice(i, governorKey, true);
        }
        removeEndpoint(0);
        double startMillis = System.nanoTime() / 1e6;
        await("removed", () -> simulatedDevice.entryText(0, rig.endpoints.get(0).id) == null);
        assertTrue(
                System.nanoTime() / 1e6 - startMillis < GRACE_MILLIS,
                "removal took longer than the grace of this rig");
        await(
                "all devices are configured",
                () ->
                        devices.stream()
                                .allMatch(
                                        each ->
                                                each.hasRoutes()
                                                        && each.entryText(
                                                                        0, rig.endpoints.get(1).id)
                                                                != null));
        double configuredMillis = System.nanoTime() / 1e6;
        await("removed from all devices", () -> devices.stream().noneMatch(this::holdsRemoved));
        assertTrue(
                System.nanoTime() / 1e6 - configuredMillis < GRACE_MILLIS,
                "removal from all devices took longer than the grace of this rig");
    }

    /** Returns whether a device sends requests to the endpoint that the tests remove first. */
    private boolean holdsRemoved(SimulatedDevice simulatedDevice) {
        String entry = simulatedDevice.entryText(0, rig.endpoints.get(0).id);
        return entry != null && entry.startsWith("w");
    }

    @Test
    void entryRejectedByDeviceDoesNotDelayOtherEntries() throws Exception {
        SimulatedDevice simulatedDevice = startDevice(1, governorKey, false);
        simulatedDevice.forbidEndpoint(rig.endpoints.get(1).id);
        Files.writeString(folder.resolve("devices"), simulatedDevice.knownHostLine() + "\n");
        await(
                "the other entries are configured",
                () ->
                        simulatedDevice.hasRoutes()
                                && List.of(0, 2, 3).stream()
                                        .allMatch(
                                                i ->
                                                        simulatedDevice.entryText(
                                                                        0, rig.endpoints.get(i).id)
                                                                != null));
        assertEquals(null, simulatedDevice.entryText(0, rig.endpoints.get(1).id));
        removeEndpoint(2);
        await(
                "another entry is removed",
                () -> simulatedDevice.entryText(0, rig.endpoints.get(2).id) == null);
    }

    @Test
    void commitIsConfirmedByNextSessionWhenSessionIsLostBeforeConfirming() throws Exception {
        SimulatedDevice simulatedDevice = startDevice(1, governorKey, false);
        simulatedDevice.breakBeforeConfirm(20_000);
        Files.writeString(folder.resolve("devices"), simulatedDevice.knownHostLine() + "\n");
        await("configured by a later session", () -> isConfigured(simulatedDevice));
        removeEndpoint(0);
        await("removed", () -> simulatedDevice.entryText(0, rig.endpoints.get(0).id) == null);
        assertFalse(simulatedDevice.hasRolledBack());
    }

    @Test
    void configRolledBackWithoutSessionIsWrittenAgain() throws Exception {
        SimulatedDevice simulatedDevice = startDevice(1, governorKey, false);
        simulatedDevice.breakBeforeConfirm(1);
        Files.writeString(folder.resolve("devices"), simulatedDevice.knownHostLine() + "\n");
        await(
                "rolled back, and configured by a later session",
                () -> simulatedDevice.hasRolledBack() && isConfigured(simulatedDevice));
    }

    @Test
    void configIsReadAgainAfterAnotherGovernorsConfirmedCommitTimesOut() throws Exception {
        SimulatedDevice simulatedDevice = startDevice(1, governorKey, true);
        await("configured", () -> isConfigured(simulatedDevice));
        rig.loop.tryExecute(
                () -> {
                    proxies.get(0).reconnect(); // The next session reads the unconfirmed commit.
                    simulatedDevice.rollBackAfter(rig.loop, 1500);
                });
        await("rolled back", simulatedDevice::hasRolledBack);
        await("configured again without a new order", () -> isConfigured(simulatedDevice));
    }

    @Test
    void keyFileReadableByOthersIsRejected() throws Exception {
        Path open = folder.resolve("open");
        Files.copy(folder.resolve("key"), open);
        Files.setPosixFilePermissions(open, PosixFilePermissions.fromString("rw-r--r--"));
        IOException thrown =
                assertThrows(
                        IOException.class,
                        () -> new DeviceKeys(open, folder.resolve("devices")).ownKey());
        assertTrue(thrown.getMessage().contains("mode 600"), thrown.getMessage());
    }
}
