package sprucelanding.simulation.scenario;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.grpc.netty.shaded.io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.sshd.common.config.keys.PublicKeyEntry;
import org.apache.sshd.common.config.keys.writer.openssh.OpenSSHKeyPairResourceWriter;
import sprucelanding.control.discovery.ListedEndpoint;
import sprucelanding.replay.capture.CaptureWriter;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.simulation.loopback.DatagramRelay;
import sprucelanding.simulation.loopback.LoopbackPorts;
import sprucelanding.simulation.loopback.NetworkPartition;
import sprucelanding.simulation.loopback.SimulatedClients;
import sprucelanding.simulation.loopback.SimulatedDevice;
import sprucelanding.simulation.loopback.SimulatedDiscovery;
import sprucelanding.simulation.loopback.SimulatedEndpoint;
import sprucelanding.simulation.loopback.SimulatedProxy;
import sprucelanding.simulation.loopback.StreamRelay;
import sprucelanding.simulation.model.EndpointModel;
import sprucelanding.simulation.rules.EventTrace;
import sprucelanding.simulation.rules.RuleChecker;
import sprucelanding.simulation.rules.TraceEvent;

/**
 * Plays a script: stand-ins in this process on a few loops, governors as processes of their own.
 */
public final class ScenarioRunner {
    /**
     * Whose tables proxies go by: the governors', all replicas evenly as listed, or the standing
     * ones all day.
     */
    public enum TableSource {
        governors,
        even,
        handsOff
    }

    private static final int TRACE_CAPACITY = 20_000_000;
    private static final int GROUND_TRUTH_BLOCKS = 100_000;
    private static final double RESTART_DELAY = 6000;
    private static final double LEAD_MILLIS = 3000; // ms from the fleet's start to the first txn

    /** What came of it. */
    public record ScenarioResult(String table, boolean kept, ObjectNode figures) {
        public void write(Path file) throws IOException {
            Files.writeString(file, figures.toPrettyString() + "\n");
        }
    }

    private final Scenario scenario;
    private final double durationMillis;
    private final TableSource tableSource;
    private final Path folder;
    private final boolean capturing;
    private final Path overlay;
    private final EventTrace trace = new EventTrace(TRACE_CAPACITY);
    private final NetworkPartition partition = new NetworkPartition();
    private final EventLoop discoveryLoop = EventLoop.start("roster");
    private final EventLoop[] endpointLoops = {
        EventLoop.start("replicas-0"), EventLoop.start("replicas-1")
    };
    private final EventLoop[] proxyLoops = {
        EventLoop.start("proxies-0"), EventLoop.start("proxies-1")
    };
    private final EventLoop clientLoop = EventLoop.start("clients");
    private final EventLoop relayLoop = EventLoop.start("relays");
    private final NioEventLoopGroup transport = new NioEventLoopGroup(2);
    private final List<SimulatedEndpoint> endpoints = new ArrayList<>();
    private final List<SimulatedProxy> proxies = new ArrayList<>();
    private final List<SimulatedClients> clients = new ArrayList<>();
    private final List<GovernorProcess> governors = new ArrayList<>();

    /** By governor, then by zone of the proxies. */
    private final List<List<StreamRelay>> relays = new ArrayList<>();

    /** The same for devices. */
    private final List<List<StreamRelay>> callRelays = new ArrayList<>();

    private final List<SimulatedDevice> devices = new ArrayList<>();
    private final List<KeyPair> hostKeys = new ArrayList<>();
    private KeyPair ownKey;
    private final SplittableRandom random;
    private final List<DatagramRelay> peerRelays = new ArrayList<>();

    /** Governors that their proxies do not reach. */
    private final Set<Integer> cutGovernors = ConcurrentHashMap.newKeySet();

    /** By governor, how many troubles cut it off from its peers. */
    private final List<AtomicInteger> cutOff = new ArrayList<>();

    private SimulatedDiscovery discovery;
    private double rateFactor = 1;

    /**
     * @param logs folder for the governors' logs; null for one that is thrown away
     * @param with records laid over each governor's station; null for none
     * @param captures governors' captures go there too, and what stand-ins know of the txns
     */
    public ScenarioRunner(
            Scenario scenario,
            double durationMillis,
            TableSource tableSource,
            Path overlay,
            Path logs,
            boolean capturing)
            throws IOException {
        this.capturing = capturing;
        this.overlay = overlay;
        scenario.check();
        this.scenario = scenario;
        this.durationMillis = durationMillis;
        this.tableSource = tableSource;
        this.random = new SplittableRandom(scenario.seed());
        this.folder =
                logs == null ? Files.createTempDirectory("day") : Files.createDirectories(logs);
    }

    public ScenarioResult run() throws IOException, InterruptedException {
        try {
            startFleet();
            double firstRequestAt = EventLoop.nowMillis() + LEAD_MILLIS;
            FaultInjector faults = new FaultInjector(scenario, new LoopbackFaultTarget(), random);
            for (Scenario.Fault fault : scenario.allFaults()) {
                if (fault.at() < durationMillis) {
                    discoveryLoop.tryExecute(
                            () ->
                                    discoveryLoop.scheduleAt(
                                            firstRequestAt + fault.at(),
                                            () -> {
                                                System.err.println(fault.toRecord());
                                                faults.inject(fault);
                                            }));
                }
            }
            Thread.sleep((long) LEAD_MILLIS);
            clients.forEach(client -> clientLoop.tryExecute(client::start));
            Thread.sleep((long) durationMillis);
            clients.forEach(client -> clientLoop.tryExecute(client::stop));
            double maxExpiryMillis =
                    scenario.products().stream()
                            .mapToDouble(Scenario.RequestClassSettings::expiry)
                            .max()
                            .orElse(0);
            Thread.sleep((long) maxExpiryMillis + 200);
            double cpuMillis = governors.stream().mapToDouble(GovernorProcess::cpuMillis).sum();
            double memoryMiB =
                    governors.stream().mapToDouble(GovernorProcess::memoryMiB).max().orElse(0);
            for (GovernorProcess governorProcess : governors) {
                governorProcess.signal("CONT");
                governorProcess.signal("TERM");
            }
            for (GovernorProcess governorProcess : governors) {
                governorProcess.stop();
            }
            return outcome(cpuMillis, memoryMiB);
        } finally {
            for (GovernorProcess governorProcess : governors) {
                governorProcess.stop();
            }
            for (SimulatedDevice device : devices) {
                device.stop();
            }
            for (EventLoop loop :
                    List.of(
                            discoveryLoop,
                            endpointLoops[0],
                            endpointLoops[1],
                            proxyLoops[0],
                            proxyLoops[1],
                            clientLoop,
                            relayLoop)) {
                loop.close();
            }
            transport.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    // The fleet.

    private void startFleet() throws IOException, InterruptedException {
        List<String> zones = scenario.zones();
        List<String> kinds = scenario.kinds().stream().map(Scenario.EndpointKind::name).toList();
        List<String> products =
                scenario.products().stream().map(Scenario.RequestClassSettings::name).toList();
        int rosterPort = LoopbackPorts.findFree();
        discovery =
                new SimulatedDiscovery(
                        discoveryLoop,
                        new InetSocketAddress("127.0.0.1", rosterPort),
                        zones,
                        kinds,
                        trace);
        for (int i = 0; i < scenario.replicas().count(); i++) {
            int kind = scenario.endpointKind(i);
            Scenario.EndpointKind endpointKind = scenario.kinds().get(kind);
            SimulatedEndpoint endpoint =
                    new SimulatedEndpoint(
                            endpointLoops[i % 2],
                            1000 + i,
                            i % zones.size(),
                            kind,
                            new InetSocketAddress("127.0.0.1", LoopbackPorts.findFree()),
                            new EndpointModel.Capacity(
                                    endpointKind.cores(),
                                    endpointKind.speed(),
                                    endpointKind.slots(),
                                    endpointKind.room(),
                                    scenario.replicas().coldFrom(),
                                    scenario.replicas().warmAfter(),
                                    scenario.replicas().connections()),
                            products,
                            partition,
                            trace,
                            scenario.seed() * 1000 + i);
            endpoints.add(endpoint);
            runOn(endpointLoops[i % 2], () -> endpoint.start(false));
        }
        runOn(discoveryLoop, discovery::start);
        runOn(
                discoveryLoop,
                () -> discovery.scheduleUpdate(endpoints, ListedEndpoint.State.READY, 0));
        int devicesFrom =
                scenario.proxies().count()
                        - (int)
                                Math.round(
                                        scenario.proxies().devices() * scenario.proxies().count());
        writePinnedKeys(devicesFrom);
        int count = tableSource == TableSource.governors ? scenario.governors().count() : 0;
        List<Integer> peerPorts = new ArrayList<>();
        for (int governorNumber = 0; governorNumber < count; governorNumber++) {
            peerPorts.add(LoopbackPorts.findFree());
            cutOff.add(new AtomicInteger());
        }
        secret();
        for (int governorNumber = 0; governorNumber < count; governorNumber++) {
            int zone = governorNumber % zones.size();
            InetAddress from = partition.sourceAddress(2, zone, governorNumber).getAddress();
            int governor = governorNumber;
            runOn(discoveryLoop, () -> discovery.registerGovernor(from, governor));
            int port = LoopbackPorts.findFree();
            int callPort = LoopbackPorts.findFree();
            GovernorProcess governorProcess =
                    new GovernorProcess(
                            governorNumber,
                            zone,
                            port,
                            folder,
                            scenario.governorConfig(
                                    governorNumber,
                                    "127.0.0.1:" + port,
                                    String.format(
                                            Locale.ROOT,
                                            "at: \"127.0.0.1:%d\", from: \"%s\", " + "keep: \"%s\"",
                                            rosterPort,
                                            from.getHostAddress(),
                                            folder.resolve("list-" + governorNumber + ".json")),
                                    extraConfig(governorNumber, callPort, peerPorts)),
                            overlay);
            governors.add(governorProcess);
            if (scenario.governors().shared()) {
                Files.deleteIfExists(folder.resolve("epoch-" + governorNumber));
            }
            governorProcess.start();
            List<StreamRelay> byZone = new ArrayList<>();
            for (int otherZone = 0; otherZone < zones.size(); otherZone++) {
                int fromZone = otherZone;
                byZone.add(
                        callOn(
                                relayLoop,
                                () ->
                                        new StreamRelay(
                                                relayLoop,
                                                new InetSocketAddress(
                                                        "127.0.0.1", governorProcess.port),
                                                () ->
                                                        partition.isOpen(
                                                                        fromZone,
                                                                        governorProcess.zone)
                                                                && !cutGovernors.contains(
                                                                        governorProcess.number))));
            }
            relays.add(byZone);
            List<StreamRelay> callsByZone = new ArrayList<>();
            for (int otherZone = 0; otherZone < zones.size(); otherZone++) {
                int fromZone = otherZone;
                callsByZone.add(
                        callOn(
                                relayLoop,
                                () ->
                                        new StreamRelay(
                                                relayLoop,
                                                new InetSocketAddress("127.0.0.1", callPort),
                                                () ->
                                                        partition.isOpen(
                                                                        fromZone,
                                                                        governorProcess.zone)
                                                                && !cutGovernors.contains(
                                                                        governorProcess.number))));
            }
            callRelays.add(callsByZone);
        }
        for (GovernorProcess governorProcess : governors) {
            governorProcess.awaitReady();
        }
        double[] expectedLoads = scenario.expectedLoads();
        AtomicLong ids = new AtomicLong();
        List<SimulatedClients.RequestClassSpec> requestClasses =
                LoadGenerator.requestClasses(scenario);
        for (int i = 0; i < expectedLoads.length; i++) {
            int zone = i % zones.size();
            double expectedLoad = expectedLoads[i];
            boolean takesEdits = i >= devicesFrom;
            boolean stateOfTheWorld =
                    i < scenario.proxies().stateOfTheWorld() * expectedLoads.length;
            SimulatedProxy proxy =
                    new SimulatedProxy(
                            proxyLoops[i % 2],
                            transport,
                            i,
                            zone,
                            zones.get(zone),
                            expectedLoad,
                            products,
                            governorAddresses(zone, i, takesEdits ? callRelays : relays),
                            new SimulatedProxy.ProxyOptions(
                                    scenario.proxies().pick(),
                                    scenario.proxies().ejectsAfter(),
                                    scenario.proxies().ejectsFor(),
                                    250,
                                    100,
                                    1500,
                                    !stateOfTheWorld),
                            partition.sourceAddress(3, zone, i),
                            trace,
                            scenario.seed() * 2000 + i);
            proxies.add(proxy);
            if (takesEdits) {
                devices.add(
                        new SimulatedDevice(
                                "proxy-" + i,
                                zones.get(zone),
                                expectedLoad,
                                ownKey.getPublic(),
                                hostKeys.get(i - devicesFrom)));
                proxy.attachDevice(devices.get(devices.size() - 1));
            }
            List<InetSocketAddress> standingAddresses = standingEndpoints(zone);
            runOn(proxyLoops[i % 2], () -> proxy.start(standingAddresses));
            clients.add(
                    new SimulatedClients(
                            clientLoop,
                            i,
                            new InetSocketAddress("127.0.0.1", proxy.port()),
                            requestClasses,
                            () -> expectedLoad * rateFactor,
                            scenario.clients().retryPolicy(),
                            scenario.clients().tryShare(),
                            ids,
                            trace,
                            scenario.seed() * 3000 + i));
        }
    }

    /** Keys and pins of the devices, in the files that governors read. */
    private void writePinnedKeys(int devicesFrom) throws IOException {
        if (devicesFrom == scenario.proxies().count()) {
            return;
        }
        ownKey = SimulatedDevice.generateKey();
        Path file = secretFile("governors-key");
        StringBuilder lines = new StringBuilder();
        try (OutputStream out = Files.newOutputStream(file)) {
            OpenSSHKeyPairResourceWriter.INSTANCE.writePrivateKey(ownKey, "governors", null, out);
        } catch (GeneralSecurityException e) {
            throw new IOException(e);
        }
        for (int i = devicesFrom; i < scenario.proxies().count(); i++) {
            KeyPair key = SimulatedDevice.generateKey();
            hostKeys.add(key);
            lines.append("proxy-")
                    .append(i)
                    .append(' ')
                    .append(PublicKeyEntry.toString(key.getPublic()))
                    .append('\n');
        }
        Files.writeString(folder.resolve("devices"), lines);
    }

    /** Governors of its own zone first. */
    private List<SimulatedProxy.GovernorAddress> governorAddresses(
            int zone, int seed, List<List<StreamRelay>> addresses) {
        List<SimulatedProxy.GovernorAddress> near = new ArrayList<>();
        List<SimulatedProxy.GovernorAddress> far = new ArrayList<>();
        for (GovernorProcess governorProcess : governors) {
            (governorProcess.zone == zone ? near : far)
                    .add(
                            new SimulatedProxy.GovernorAddress(
                                    governorProcess.number,
                                    addresses.get(governorProcess.number).get(zone).port()));
        }
        Collections.shuffle(
                near,
                new Random(seed * 0x9E3779B97F4A7C15L)); // seeds in a row alone would shuffle alike
        Collections.shuffle(far, new Random(seed));
        near.addAll(far);
        return near;
    }

    private List<InetSocketAddress> standingEndpoints(int zone) {
        List<SimulatedEndpoint> addresses =
                new ArrayList<>(
                        endpoints.stream()
                                .filter(
                                        simulatedEndpoint ->
                                                tableSource == TableSource.even
                                                        || simulatedEndpoint.zone == zone)
                                .toList());
        Collections.shuffle(addresses, new Random(random.nextLong()));
        int count =
                tableSource == TableSource.even
                        ? addresses.size()
                        : Math.min(scenario.proxies().standing(), addresses.size());
        return addresses.subList(0, count).stream().map(SimulatedEndpoint::address).toList();
    }

    /** What a governor's station holds beside what the script says of it. */
    private String extraConfig(int governor, int callPort, List<Integer> peers) {
        StringBuilder text = new StringBuilder();
        if (ownKey != null) {
            text.append("netconf: {at: \"127.0.0.1:")
                    .append(callPort)
                    .append("\", key: \"")
                    .append(folder.resolve("governors-key"))
                    .append("\", devices: \"")
                    .append(folder.resolve("devices"))
                    .append("\"}\n");
        }
        if (capturing) {
            text.append("capture: file: \"")
                    .append(folder.resolve("governor-" + governor + ".cap"))
                    .append("\"\n");
        }
        int zones = scenario.zones().size();
        return text.append(
                        scenario.peerConfig(
                                governor,
                                other ->
                                        "127.0.0.1:"
                                                + relayedPort(
                                                        governor, other, peers.get(other), zones),
                                !scenario.governors().shared()
                                        ? ""
                                        : String.format(
                                                Locale.ROOT,
                                                ", at: \"127.0.0.1:%d\", key: \"%s\", keep: \"%s\"",
                                                peers.get(governor),
                                                folder.resolve("governors-secret"),
                                                folder.resolve("epoch-" + governor))))
                .toString();
    }

    /** The port of a relay that brings one governor's packets to another. */
    private int relayedPort(int from, int to, int port, int zones) {
        try {
            DatagramRelay relay =
                    callOn(
                            relayLoop,
                            () ->
                                    new DatagramRelay(
                                            relayLoop,
                                            new InetSocketAddress("127.0.0.1", port),
                                            () ->
                                                    partition.isOpen(from % zones, to % zones)
                                                            && cutOff.get(from).get()
                                                                            + cutOff.get(to).get()
                                                                    == 0,
                                            scenario.seed() * 6000 + from * 64 + to));
            peerRelays.add(relay);
            return relay.port();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A file that is empty and for its owner alone. */
    private Path secretFile(String name) throws IOException {
        Path file = folder.resolve(name);
        Files.deleteIfExists(file);
        return Files.createFile(
                file,
                PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
    }

    /** What governors sign their packets with. */
    private void secret() throws IOException {
        if (scenario.governors().shared()) {
            Path file = secretFile("governors-secret");
            byte[] key = new byte[32];
            new Random(random.nextLong()).nextBytes(key);
            Files.writeString(file, java.util.HexFormat.of().formatHex(key) + "\n");
        }
    }

    private interface Step {
        void run();
    }

    private static void runOn(EventLoop loop, Step step) throws InterruptedException {
        callOn(
                loop,
                () -> {
                    step.run();
                    return true;
                });
    }

    private static <T> T callOn(EventLoop loop, java.util.function.Supplier<T> step)
            throws InterruptedException {
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.tryExecute(
                () -> {
                    try {
                        done.complete(step.get());
                    } catch (RuntimeException e) {
                        done.completeExceptionally(e);
                    }
                });
        try {
            return done.get(10, TimeUnit.SECONDS);
        } catch (java.util.concurrent.ExecutionException
                | java.util.concurrent.TimeoutException e) {
            throw new IllegalStateException("the fleet cannot be raised", e);
        }
    }

    // What troubles can do here. All on the roster's loop, which hands on.

    private final class LoopbackFaultTarget implements FaultTarget {
        private void onEndpoint(int i, java.util.function.Consumer<SimulatedEndpoint> action) {
            endpointLoops[i % 2].tryExecute(() -> action.accept(endpoints.get(i)));
        }

        private void onProxy(int i, java.util.function.Consumer<SimulatedProxy> action) {
            proxyLoops[i % 2].tryExecute(() -> action.accept(proxies.get(i)));
        }

        /** On the loop of the proxy whose management side it is. */
        private void onDevice(int i, java.util.function.Consumer<SimulatedDevice> action) {
            proxyLoops[(proxies.size() - devices.size() + i) % 2].tryExecute(
                    () -> action.accept(devices.get(i)));
        }

        @Override
        public int endpointCount() {
            return endpoints.size();
        }

        @Override
        public int proxyCount() {
            return proxies.size();
        }

        @Override
        public int deviceCount() {
            return devices.size();
        }

        @Override
        public int governorCount() {
            return governors.size();
        }

        @Override
        public int endpointZone(int endpoint) {
            return endpoints.get(endpoint).zone;
        }

        @Override
        public int proxyZone(int proxy) {
            return proxies.get(proxy).zone;
        }

        @Override
        public int governorZone(int governor) {
            return governors.get(governor).zone;
        }

        @Override
        public void schedule(double delayMillis, Runnable action) {
            discoveryLoop.schedule(delayMillis, action);
        }

        @Override
        public void crashEndpoint(int endpoint) {
            onEndpoint(endpoint, SimulatedEndpoint::crash);
        }

        @Override
        public void startEndpoint(int endpoint) {
            onEndpoint(endpoint, simulatedEndpoint -> simulatedEndpoint.start(true));
        }

        @Override
        public boolean isEndpointUp(int endpoint) {
            return endpoints.get(endpoint).isUp();
        }

        @Override
        public void setEndpointHanging(int endpoint, boolean active) {
            onEndpoint(endpoint, simulatedEndpoint -> simulatedEndpoint.setHung(active));
        }

        @Override
        public void setEndpointSlowdown(int endpoint, double factor) {
            onEndpoint(endpoint, simulatedEndpoint -> simulatedEndpoint.setSlowdown(factor));
        }

        @Override
        public void setEndpointFailureShare(int endpoint, double share) {
            onEndpoint(endpoint, simulatedEndpoint -> simulatedEndpoint.setFailureShare(share));
        }

        @Override
        public void setEndpointPaused(int endpoint, boolean active) {
            onEndpoint(endpoint, simulatedEndpoint -> simulatedEndpoint.setPaused(active));
        }

        @Override
        public void setEndpointOccupiedShare(int endpoint, double share) {
            onEndpoint(endpoint, simulatedEndpoint -> simulatedEndpoint.setStolenShare(share));
        }

        @Override
        public void limitEndpointConnections(int endpoint, int limit) {
            onEndpoint(endpoint, simulatedEndpoint -> simulatedEndpoint.setConnectionLimit(limit));
        }

        @Override
        public void setEndpointUnreachableFrom(int endpoint, int zone) {
            onEndpoint(endpoint, simulatedEndpoint -> simulatedEndpoint.ignoreZone(zone));
        }

        @Override
        public void announceToDiscovery(
                List<Integer> listed, ListedEndpoint.State stage, double after) {
            discovery.scheduleUpdate(listed.stream().map(endpoints::get).toList(), stage, after);
        }

        @Override
        public void delayDiscovery(double delayMillis) {
            discovery.setDelay(delayMillis);
        }

        @Override
        public void restartDiscovery() {
            discovery.restart();
        }

        @Override
        public void setZoneCut(int zone, boolean active) {
            partition.setCut(zone, active);
            relays.forEach(
                    governorRelays ->
                            governorRelays.forEach(
                                    relay -> relayLoop.tryExecute(relay::updatePaused)));
            callRelays.forEach(
                    governorRelays ->
                            governorRelays.forEach(
                                    relay -> relayLoop.tryExecute(relay::updatePaused)));
        }

        @Override
        public void setRequestRateFactor(double factor) {
            rateFactor = factor;
        }

        @Override
        public void crashProxy(int proxy) {
            onProxy(proxy, SimulatedProxy::crash);
        }

        @Override
        public void startProxy(int proxy) {
            List<InetSocketAddress> standing = standingEndpoints(proxies.get(proxy).zone);
            onProxy(proxy, simulatedProxy -> simulatedProxy.start(standing));
        }

        @Override
        public void setProxyIsolated(int proxy, boolean active) {
            onProxy(proxy, simulatedProxy -> simulatedProxy.setIsolated(active));
        }

        @Override
        public void delayProxyAcknowledgements(int proxy, double delayMillis) {
            onProxy(proxy, simulatedProxy -> simulatedProxy.setResponseDelay(delayMillis));
        }

        @Override
        public void rejectProxyMessages(int proxy, int messages) {
            onProxy(proxy, simulatedProxy -> simulatedProxy.rejectNext(messages));
        }

        @Override
        public void setProxyReadStopped(int proxy, boolean active) {
            onProxy(proxy, simulatedProxy -> simulatedProxy.setReadsPaused(active));
        }

        @Override
        public void killGovernor(int governor) {
            governors.get(governor).kill();
        }

        @Override
        public void startGovernor(int governor) {
            if (governors
                    .get(governor)
                    .isAlive()) { // it was told to stop while it stood still, say
                discoveryLoop.schedule(
                        RESTART_DELAY,
                        () -> {
                            if (!governors.get(governor).isAlive()) {
                                governors.get(governor).start();
                            }
                        });
            } else {
                governors.get(governor).start();
            }
        }

        @Override
        public void setGovernorPaused(int governor, boolean active) {
            governors.get(governor).signal(active ? "STOP" : "CONT");
        }

        @Override
        public void stopGovernor(int governor) {
            governors.get(governor).signal("TERM");
        }

        @Override
        public void setGovernorCut(int governor, boolean active) {
            if (active) {
                cutGovernors.add(governor);
            } else {
                cutGovernors.remove(governor);
            }
            relays.get(governor).forEach(relay -> relayLoop.tryExecute(relay::updatePaused));
            callRelays.get(governor).forEach(relay -> relayLoop.tryExecute(relay::updatePaused));
        }

        @Override
        public void setPeersCut(int governor, boolean active) {
            cutOff.get(governor).addAndGet(active ? 1 : -1);
        }

        @Override
        public void setPeerLossShare(double share) {
            relayLoop.tryExecute(() -> peerRelays.forEach(relay -> relay.setLossShare(share)));
        }

        @Override
        public void faultInjected(int governor, String fault) {
            trace.record(new TraceEvent.FaultInjected(EventLoop.nowMillis(), governor, fault));
        }

        @Override
        public void holdDeviceLock(int device, double delayMillis) {
            onDevice(device, simulatedDevice -> simulatedDevice.lockFor(delayMillis));
        }

        @Override
        public void muteDevice(int device, int answers) {
            onDevice(device, simulatedDevice -> simulatedDevice.dropResponses(answers));
        }

        @Override
        public void driftDevice(int device) {
            onDevice(device, SimulatedDevice::driftConfiguration);
        }

        @Override
        public void breakConnectionAfter(int governor, int zone, int bytes) {
            relayLoop.tryExecute(() -> relays.get(governor).get(zone).setBreakAfter(bytes));
        }
    }

    // What came of it.

    private ScenarioResult outcome(double cpuMillis, double memoryMiB) throws IOException {
        List<TraceEvent> events = trace.inOrder();
        RuleChecker checker = new RuleChecker(scenario.ruleLimits());
        ScenarioMetrics metrics = new ScenarioMetrics(scenario);
        events.forEach(
                event -> {
                    checker.accept(event);
                    metrics.record(event);
                });
        if (capturing) {
            try (CaptureWriter groundTruth =
                    new CaptureWriter(
                            folder.resolve("truth.cap"),
                            scenario.name(),
                            GROUND_TRUTH_BLOCKS,
                            Long.MAX_VALUE,
                            System.err::println)) {
                events.forEach(event -> GroundTruth.record(event, groundTruth::append));
            }
        }
        return metrics.outcome(
                tableSource.name(),
                durationMillis,
                checker.verdicts(),
                trace.hasOverflowed(),
                cpuMillis,
                memoryMiB,
                governors);
    }
}
