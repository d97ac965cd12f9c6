package sprucelanding.simulation.scenario;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import sprucelanding.simulation.loopback.DatagramRelay;
import sprucelanding.simulation.loopback.LoopbackPorts;
import sprucelanding.simulation.loopback.NetworkPartition;
import sprucelanding.simulation.loopback.SimulatedDiscovery;
import sprucelanding.simulation.loopback.SimulatedProxy;
import sprucelanding.simulation.loopback.StreamRelay;
import sprucelanding.simulation.process.JavaProcess;

/**
 * The governors of a scenario as processes. Proxies and other governors reach a governor through
 * relays, so that each path can be cut. The cluster is built on the thread that runs the scenario.
 * Faults are injected on the loop of discovery.
 */
final class GovernorCluster {
    /** Second byte of the addresses from which governors connect to discovery. */
    private static final int SOURCE_ADDRESS_KIND = 2;

    private static final double RESTART_DELAY_MILLIS = 6000;
    private static final int SECRET_BYTES = 32;

    /** Number of consecutive relay seeds that are reserved for each sending governor. */
    private static final long RELAY_SEEDS_PER_GOVERNOR = 64;

    /** Multiplier that spreads consecutive seeds, which would give similar shuffles. */
    private static final long SEED_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private final Scenario scenario;
    private final RunFiles files;
    private final FleetLoops loops;
    private final NetworkPartition partition;
    private final List<GovernorProcess> processes = new ArrayList<>();

    /** Relays of xDS streams, by governor and then by zone of the proxies. */
    private final List<List<StreamRelay>> streamRelays = new ArrayList<>();

    /** Relays of the connections that devices open, by governor and then by zone of the devices. */
    private final List<List<StreamRelay>> deviceRelays = new ArrayList<>();

    private final List<DatagramRelay> peerRelays = new ArrayList<>();

    /** Governors that are cut off from their proxies. The loop of relays reads the set. */
    private final Set<Integer> cutGovernors = ConcurrentHashMap.newKeySet();

    /** The number of current faults that cut a governor off from the others, by governor. */
    private final List<AtomicInteger> peerCuts = new ArrayList<>();

    private final List<Integer> peerPorts = new ArrayList<>();

    GovernorCluster(
            Scenario scenario, RunFiles files, FleetLoops loops, NetworkPartition partition) {
        this.scenario = scenario;
        this.files = files;
        this.loops = loops;
        this.partition = partition;
    }

    /**
     * Starts all governors without waiting until they listen, so that they start up concurrently.
     *
     * @param count number of governors
     * @param credentials the keys for devices; empty if the fleet has no devices
     * @param random source of the key with which governors sign their packets
     */
    void start(
            int count,
            SimulatedDiscovery discovery,
            int discoveryPort,
            Optional<DeviceCredentials> credentials,
            SplittableRandom random)
            throws IOException, InterruptedException {
        for (int governor = 0; governor < count; governor++) {
            peerPorts.add(LoopbackPorts.findFree());
            peerCuts.add(new AtomicInteger());
        }
        writeSigningKey(random);
        for (int governor = 0; governor < count; governor++) {
            startGovernor(governor, discovery, discoveryPort, credentials);
        }
    }

    /** Writes the key with which governors sign their packets, if governors share the fleet. */
    private void writeSigningKey(SplittableRandom random) throws IOException {
        if (scenario.governors().shared()) {
            Path file = PrivateFiles.create(files.signingKey());
            byte[] key = new byte[SECRET_BYTES];
            new Random(random.nextLong()).nextBytes(key);
            Files.writeString(file, HexFormat.of().formatHex(key) + "\n");
        }
    }

    private void startGovernor(
            int governor,
            SimulatedDiscovery discovery,
            int discoveryPort,
            Optional<DeviceCredentials> credentials)
            throws IOException, InterruptedException {
        int zone = governor % scenario.zones().size();
        InetAddress source =
                partition.sourceAddress(SOURCE_ADDRESS_KIND, zone, governor).getAddress();
        FleetLoops.runOn(loops.discovery(), () -> discovery.registerGovernor(source, governor));
        int port = LoopbackPorts.findFree();
        int devicePort = LoopbackPorts.findFree();
        String discoveryConfig =
                String.format(
                        Locale.ROOT,
                        "at: \"127.0.0.1:%d\", from: \"%s\", keep: \"%s\"",
                        discoveryPort,
                        source.getHostAddress(),
                        files.endpointList(governor));
        String config =
                scenario.governorConfig(
                        governor,
                        "127.0.0.1:" + port,
                        discoveryConfig,
                        runConfig(governor, devicePort, credentials));
        GovernorProcess process =
                new GovernorProcess(governor, zone, port, files.folder(), config, files.overlay());
        processes.add(process);
        if (scenario.governors().shared()) {
            Files.deleteIfExists(files.epoch(governor));
        }
        process.start();
        streamRelays.add(relaysByZone(process, port));
        deviceRelays.add(relaysByZone(process, devicePort));
    }

    /** Creates a relay to a port of a governor for each zone of proxies. */
    private List<StreamRelay> relaysByZone(GovernorProcess process, int port)
            throws InterruptedException {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", port);
        List<StreamRelay> relays = new ArrayList<>();
        for (int zone = 0; zone < scenario.zones().size(); zone++) {
            int proxyZone = zone;
            BooleanSupplier isOpen =
                    () ->
                            partition.isOpen(proxyZone, process.zone())
                                    && !cutGovernors.contains(process.number());
            relays.add(
                    FleetLoops.callOn(
                            loops.relays(),
                            () -> new StreamRelay(loops.relays(), address, isOpen)));
        }
        return relays;
    }

    /** Returns the part of a governor's configuration that does not come from the scenario. */
    private String runConfig(
            int governor, int devicePort, Optional<DeviceCredentials> credentials) {
        StringBuilder text = new StringBuilder();
        credentials.ifPresent(
                keys ->
                        text.append("netconf: {at: \"127.0.0.1:")
                                .append(devicePort)
                                .append("\", key: \"")
                                .append(keys.keyFile())
                                .append("\", devices: \"")
                                .append(keys.hostKeysFile())
                                .append("\"}\n"));
        files.capture(governor)
                .ifPresent(
                        capture -> text.append("capture: file: \"").append(capture).append("\"\n"));
        return text.append(
                        scenario.peerConfig(
                                governor,
                                other -> "127.0.0.1:" + peerRelayPort(governor, other),
                                runPeerConfig(governor)))
                .toString();
    }

    private String runPeerConfig(int governor) {
        if (!scenario.governors().shared()) {
            return "";
        }
        return String.format(
                Locale.ROOT,
                ", at: \"127.0.0.1:%d\", key: \"%s\", keep: \"%s\"",
                peerPorts.get(governor),
                files.signingKey(),
                files.epoch(governor));
    }

    /**
     * Creates a relay for the packets from one governor to another, and returns the relay's port.
     */
    private int peerRelayPort(int from, int to) {
        int zones = scenario.zones().size();
        BooleanSupplier isOpen =
                () ->
                        partition.isOpen(from % zones, to % zones)
                                && peerCuts.get(from).get() + peerCuts.get(to).get() == 0;
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", peerPorts.get(to));
        long seed = scenario.seed() * 6000 + from * RELAY_SEEDS_PER_GOVERNOR + to;
        try {
            DatagramRelay relay =
                    FleetLoops.callOn(
                            loops.relays(),
                            () -> new DatagramRelay(loops.relays(), address, isOpen, seed));
            peerRelays.add(relay);
            return relay.port();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Waits until all governors listen.
     *
     * @throws IOException if a governor does not listen in time
     */
    void awaitReady() throws IOException, InterruptedException {
        for (GovernorProcess process : processes) {
            process.awaitReady();
        }
    }

    List<GovernorProcess> processes() {
        return Collections.unmodifiableList(processes);
    }

    /**
     * Returns the addresses at which a proxy connects to governors, in the order in which the proxy
     * tries them. Governors of the proxy's zone come first.
     */
    List<SimulatedProxy.GovernorAddress> addressesFor(int proxy, int zone, ProxyProtocol protocol) {
        List<List<StreamRelay>> relays =
                protocol == ProxyProtocol.NETCONF ? deviceRelays : streamRelays;
        List<SimulatedProxy.GovernorAddress> addresses = new ArrayList<>();
        List<SimulatedProxy.GovernorAddress> otherZoneAddresses = new ArrayList<>();
        for (GovernorProcess process : processes) {
            int port = relays.get(process.number()).get(zone).port();
            (process.zone() == zone ? addresses : otherZoneAddresses)
                    .add(new SimulatedProxy.GovernorAddress(process.number(), port));
        }
        Collections.shuffle(addresses, new Random(proxy * SEED_MULTIPLIER));
        Collections.shuffle(otherZoneAddresses, new Random(proxy));
        addresses.addAll(otherZoneAddresses);
        return addresses;
    }

    /** Returns the total processor time of all governors, in ms. */
    double cpuMillis() {
        return processes.stream().mapToDouble(GovernorProcess::cpuMillis).sum();
    }

    /** Returns the memory of the governor that has used the most, in MiB. */
    double memoryMiB() {
        return processes.stream().mapToDouble(GovernorProcess::memoryMiB).max().orElse(0);
    }

    /** Asks all governor processes to end. {@link #stop} waits until they have ended. */
    void requestStop() {
        for (GovernorProcess process : processes) {
            process.signal(JavaProcess.Signal.CONT);
            process.signal(JavaProcess.Signal.TERM);
        }
    }

    /** Ends all governors and waits until their processes have ended. */
    void stop() throws InterruptedException {
        for (GovernorProcess process : processes) {
            process.stop();
        }
    }

    /**
     * Starts a governor again. A governor whose process still runs, for instance because it was
     * paused, is started after a delay if the process has ended by then.
     */
    void restart(int governor) {
        GovernorProcess process = processes.get(governor);
        if (process.isAlive()) {
            loops.discovery()
                    .schedule(
                            RESTART_DELAY_MILLIS,
                            () -> {
                                if (!process.isAlive()) {
                                    process.start();
                                }
                            });
        } else {
            process.start();
        }
    }

    /** Cuts a governor off from its proxies, or reconnects it. */
    void setCut(int governor, boolean active) {
        if (active) {
            cutGovernors.add(governor);
        } else {
            cutGovernors.remove(governor);
        }
        updatePaused(streamRelays.get(governor));
        updatePaused(deviceRelays.get(governor));
    }

    /** Makes all stream relays check again whether their paths are open. */
    void updateRelays() {
        streamRelays.forEach(this::updatePaused);
        deviceRelays.forEach(this::updatePaused);
    }

    private void updatePaused(List<StreamRelay> relays) {
        relays.forEach(relay -> loops.relays().tryExecute(relay::updatePaused));
    }

    /**
     * Cuts a governor off from the other governors, or ends one such cut. The governor is
     * reconnected when all its cuts have ended.
     */
    void setPeersCut(int governor, boolean active) {
        peerCuts.get(governor).addAndGet(active ? 1 : -1);
    }

    /** Makes the relays between governors lose a share of the packets. */
    void setPeerLossShare(double share) {
        loops.relays().tryExecute(() -> peerRelays.forEach(relay -> relay.setLossShare(share)));
    }

    /**
     * Breaks the next xDS stream from a governor to a zone that carries {@code bytes} more bytes.
     */
    void breakConnectionAfter(int governor, int zone, int bytes) {
        loops.relays().tryExecute(() -> streamRelays.get(governor).get(zone).setBreakAfter(bytes));
    }
}
