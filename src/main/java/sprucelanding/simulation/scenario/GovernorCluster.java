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
 * The governors of a scenario as processes, and the relays through which proxies and other
 * governors reach them, so that each path can be cut. Built on the thread that runs the scenario;
 * faults are injected on the loop of discovery.
 */
final class GovernorCluster {
    /** Third byte group of the addresses that governors connect to discovery from. */
    private static final int SOURCE_ADDRESS_KIND = 2;

    private static final double RESTART_DELAY_MILLIS = 6000;
    private static final int SECRET_BYTES = 32;

    /** Seeds of the relays from one governor follow each other. */
    private static final long PEERS_PER_SEED = 64;

    /** Spreads consecutive seeds, which would shuffle alike. */
    private static final long SEED_FACTOR = 0x9E3779B97F4A7C15L;

    private final Scenario scenario;
    private final RunFiles files;
    private final FleetLoops loops;
    private final NetworkPartition partition;
    private final List<GovernorProcess> processes = new ArrayList<>();

    /** Relays of xDS streams by governor, then by zone of the proxies. */
    private final List<List<StreamRelay>> streamRelays = new ArrayList<>();

    /** Relays of the connections that devices open, by governor, then by zone. */
    private final List<List<StreamRelay>> callRelays = new ArrayList<>();

    private final List<DatagramRelay> peerRelays = new ArrayList<>();

    /** Governors that their proxies don't reach; read by the loop of relays. */
    private final Set<Integer> cutGovernors = ConcurrentHashMap.newKeySet();

    /** By governor, the number of faults that cut it off from the others. */
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
     * Starts governors, which then start up side by side.
     *
     * @param random draws the key that governors sign their packets with
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
        writeSecret(random);
        for (int governor = 0; governor < count; governor++) {
            startGovernor(governor, discovery, discoveryPort, credentials);
        }
    }

    /** Writes the key that governors sign their packets with, if they share the fleet. */
    private void writeSecret(SplittableRandom random) throws IOException {
        if (scenario.governors().shared()) {
            Path file = PrivateFiles.create(files.governorsSecret());
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
        int callPort = LoopbackPorts.findFree();
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
                        extraConfig(governor, callPort, credentials));
        GovernorProcess process =
                new GovernorProcess(governor, zone, port, files.folder(), config, files.overlay());
        processes.add(process);
        if (scenario.governors().shared()) {
            Files.deleteIfExists(files.epoch(governor));
        }
        process.start();
        streamRelays.add(relaysByZone(process, port));
        callRelays.add(relaysByZone(process, callPort));
    }

    /** Creates a relay to a port of a governor for the proxies of each zone. */
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

    /** Returns the configuration of a governor beside what the scenario says of it. */
    private String extraConfig(
            int governor, int callPort, Optional<DeviceCredentials> credentials) {
        StringBuilder text = new StringBuilder();
        credentials.ifPresent(
                keys ->
                        text.append("netconf: {at: \"127.0.0.1:")
                                .append(callPort)
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
                                ownPeerConfig(governor)))
                .toString();
    }

    private String ownPeerConfig(int governor) {
        if (!scenario.governors().shared()) {
            return "";
        }
        return String.format(
                Locale.ROOT,
                ", at: \"127.0.0.1:%d\", key: \"%s\", keep: \"%s\"",
                peerPorts.get(governor),
                files.governorsSecret(),
                files.epoch(governor));
    }

    /** Creates a relay for the packets from one governor to another and returns its port. */
    private int peerRelayPort(int from, int to) {
        int zones = scenario.zones().size();
        BooleanSupplier isOpen =
                () ->
                        partition.isOpen(from % zones, to % zones)
                                && peerCuts.get(from).get() + peerCuts.get(to).get() == 0;
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", peerPorts.get(to));
        long seed = scenario.seed() * 6000 + from * PEERS_PER_SEED + to;
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

    /** Waits until all governors listen. */
    void awaitReady() throws IOException, InterruptedException {
        for (GovernorProcess process : processes) {
            process.awaitReady();
        }
    }

    List<GovernorProcess> processes() {
        return Collections.unmodifiableList(processes);
    }

    /** Returns where a proxy connects to governors, in its order: those of its own zone first. */
    List<SimulatedProxy.GovernorAddress> addressesFor(int proxy, int zone, ProxyProtocol protocol) {
        List<List<StreamRelay>> relays =
                protocol == ProxyProtocol.NETCONF ? callRelays : streamRelays;
        List<SimulatedProxy.GovernorAddress> near = new ArrayList<>();
        List<SimulatedProxy.GovernorAddress> far = new ArrayList<>();
        for (GovernorProcess process : processes) {
            int port = relays.get(process.number()).get(zone).port();
            (process.zone() == zone ? near : far)
                    .add(new SimulatedProxy.GovernorAddress(process.number(), port));
        }
        Collections.shuffle(near, new Random(proxy * SEED_FACTOR));
        Collections.shuffle(far, new Random(proxy));
        near.addAll(far);
        return near;
    }

    /** Returns the processor time of all governors in ms. */
    double cpuMillis() {
        return processes.stream().mapToDouble(GovernorProcess::cpuMillis).sum();
    }

    /** Returns the memory of the largest governor in MiB. */
    double memoryMiB() {
        return processes.stream().mapToDouble(GovernorProcess::memoryMiB).max().orElse(0);
    }

    /** Asks all governors to end before {@link #stop} waits for them. */
    void requestStop() {
        for (GovernorProcess process : processes) {
            process.signal(JavaProcess.Signal.CONT);
            process.signal(JavaProcess.Signal.TERM);
        }
    }

    /** Ends all governors. */
    void stop() throws InterruptedException {
        for (GovernorProcess process : processes) {
            process.stop();
        }
    }

    /** Starts a governor again, later if it hasn't ended yet: it may have been paused. */
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
        update(streamRelays.get(governor));
        update(callRelays.get(governor));
    }

    /** Lets all relays look again whether their path is open. */
    void updateRelays() {
        streamRelays.forEach(this::update);
        callRelays.forEach(this::update);
    }

    private void update(List<StreamRelay> relays) {
        relays.forEach(relay -> loops.relays().tryExecute(relay::updatePaused));
    }

    /** Cuts a governor off from the others, or reconnects it; cuts add up. */
    void setPeersCut(int governor, boolean active) {
        peerCuts.get(governor).addAndGet(active ? 1 : -1);
    }

    /** Makes the relays between governors lose a share of the packets. */
    void setPeerLossShare(double share) {
        loops.relays().tryExecute(() -> peerRelays.forEach(relay -> relay.setLossShare(share)));
    }

    /** Breaks the next xDS stream of a governor to a zone that carries this many bytes more. */
    void breakConnectionAfter(int governor, int zone, int bytes) {
        loops.relays().tryExecute(() -> streamRelays.get(governor).get(zone).setBreakAfter(bytes));
    }
}
