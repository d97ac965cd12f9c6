package sprucelanding.simulation.scenario;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import sprucelanding.control.discovery.ListedEndpoint;
import sprucelanding.simulation.loopback.LoopbackPorts;
import sprucelanding.simulation.loopback.NetworkPartition;
import sprucelanding.simulation.loopback.SimulatedClients;
import sprucelanding.simulation.loopback.SimulatedDevice;
import sprucelanding.simulation.loopback.SimulatedDiscovery;
import sprucelanding.simulation.loopback.SimulatedEndpoint;
import sprucelanding.simulation.loopback.SimulatedProxy;
import sprucelanding.simulation.model.EndpointModel;
import sprucelanding.simulation.rules.EventTrace;

/**
 * The fleet of a scenario on loopback sockets: discovery, endpoints, proxies, devices, clients, and
 * the governors as processes. The fleet is built on the thread that runs the scenario. Afterwards
 * each member is used only on its event loop.
 */
final class LoopbackFleet {
    private static final int FIRST_ENDPOINT_ID = 1000;

    /** Second byte of the addresses from which proxies connect to endpoints. */
    private static final int SOURCE_ADDRESS_KIND = 3;

    private static final double CONNECT_TIMEOUT_MILLIS = 250;
    private static final double MIN_RECONNECT_MILLIS = 100;
    private static final double MAX_RECONNECT_MILLIS = 1500;

    private final Scenario scenario;
    private final ScenarioRunner.TableSource tableSource;
    private final RunFiles files;
    private final EventTrace trace;
    private final SplittableRandom random;
    private final FleetLoops loops = new FleetLoops();
    private final NetworkPartition partition = new NetworkPartition();
    private final GovernorCluster governors;
    private final List<SimulatedEndpoint> endpoints = new ArrayList<>();
    private final List<SimulatedProxy> proxies = new ArrayList<>();
    private final List<SimulatedDevice> devices = new ArrayList<>();
    private final List<SimulatedClients> clients = new ArrayList<>();
    private final AtomicLong requestIds = new AtomicLong();
    private final List<String> requestClassNames;
    private final int firstDevice;
    private SimulatedDiscovery discovery;
    private double requestRateFactor = 1;

    LoopbackFleet(
            Scenario scenario,
            ScenarioRunner.TableSource tableSource,
            RunFiles files,
            EventTrace trace,
            SplittableRandom random) {
        this.scenario = scenario;
        this.tableSource = tableSource;
        this.files = files;
        this.trace = trace;
        this.random = random;
        governors = new GovernorCluster(scenario, files, loops, partition);
        requestClassNames =
                scenario.products().stream().map(Scenario.RequestClassSettings::name).toList();
        int proxyCount = scenario.proxies().count();
        firstDevice = proxyCount - (int) Math.round(scenario.proxies().devices() * proxyCount);
    }

    /** Starts all members except the clients, and waits until all governors listen. */
    void start() throws IOException, InterruptedException {
        int discoveryPort = LoopbackPorts.findFree();
        discovery =
                new SimulatedDiscovery(
                        loops.discovery(),
                        new InetSocketAddress("127.0.0.1", discoveryPort),
                        scenario.zones(),
                        scenario.kinds().stream().map(Scenario.EndpointKind::name).toList(),
                        trace);
        for (int i = 0; i < scenario.replicas().count(); i++) {
            startEndpoint(i);
        }
        FleetLoops.runOn(loops.discovery(), discovery::start);
        FleetLoops.runOn(
                loops.discovery(),
                () -> discovery.scheduleUpdate(endpoints, ListedEndpoint.State.READY, 0));
        Optional<DeviceCredentials> credentials = createCredentials();
        int count =
                tableSource == ScenarioRunner.TableSource.governors
                        ? scenario.governors().count()
                        : 0;
        governors.start(count, discovery, discoveryPort, credentials, random);
        governors.awaitReady();
        startProxies(credentials);
    }

    private void startEndpoint(int position) throws IOException, InterruptedException {
        int kindNumber = scenario.endpointKind(position);
        Scenario.EndpointKind kind = scenario.kinds().get(kindNumber);
        Scenario.EndpointSettings settings = scenario.replicas();
        SimulatedEndpoint endpoint =
                new SimulatedEndpoint(
                        loops.endpoint(position),
                        FIRST_ENDPOINT_ID + position,
                        position % scenario.zones().size(),
                        kindNumber,
                        new InetSocketAddress("127.0.0.1", LoopbackPorts.findFree()),
                        new EndpointModel.Capacity(
                                kind.cores(),
                                kind.speed(),
                                kind.slots(),
                                kind.room(),
                                settings.coldFrom(),
                                settings.warmAfter(),
                                settings.connections()),
                        requestClassNames,
                        partition,
                        trace,
                        scenario.seed() * 1000 + position);
        endpoints.add(endpoint);
        FleetLoops.runOn(loops.endpoint(position), () -> endpoint.start(false));
    }

    private Optional<DeviceCredentials> createCredentials() throws IOException {
        int proxyCount = scenario.proxies().count();
        return firstDevice == proxyCount
                ? Optional.empty()
                : Optional.of(DeviceCredentials.create(files.folder(), firstDevice, proxyCount));
    }

    private void startProxies(Optional<DeviceCredentials> credentials)
            throws IOException, InterruptedException {
        double[] expectedLoads = scenario.expectedLoads();
        List<SimulatedClients.RequestClassSpec> requestClasses =
                LoadGenerator.requestClasses(scenario);
        for (int i = 0; i < expectedLoads.length; i++) {
            SimulatedProxy proxy = createProxy(i, expectedLoads[i]);
            proxies.add(proxy);
            if (i >= firstDevice) {
                attachDevice(proxy, i, expectedLoads[i], credentials.orElseThrow());
            }
            List<InetSocketAddress> standingEndpoints = standingEndpoints(proxy.zone);
            FleetLoops.runOn(loops.proxy(i), () -> proxy.start(standingEndpoints));
            clients.add(createClients(i, proxy.port(), expectedLoads[i], requestClasses));
        }
    }

    private SimulatedProxy createProxy(int position, double expectedLoad) {
        Scenario.ProxySettings settings = scenario.proxies();
        int zone = position % scenario.zones().size();
        ProxyProtocol protocol =
                position >= firstDevice ? ProxyProtocol.NETCONF : ProxyProtocol.XDS;
        boolean usesStateOfTheWorld = position < settings.stateOfTheWorld() * settings.count();
        return new SimulatedProxy(
                loops.proxy(position),
                loops.transport(),
                position,
                zone,
                scenario.zones().get(zone),
                expectedLoad,
                requestClassNames,
                governors.addressesFor(position, zone, protocol),
                new SimulatedProxy.ProxyOptions(
                        settings.pick(),
                        settings.ejectsAfter(),
                        settings.ejectsFor(),
                        CONNECT_TIMEOUT_MILLIS,
                        MIN_RECONNECT_MILLIS,
                        MAX_RECONNECT_MILLIS,
                        !usesStateOfTheWorld),
                partition.sourceAddress(SOURCE_ADDRESS_KIND, zone, position),
                trace,
                scenario.seed() * 2000 + position);
    }

    private void attachDevice(
            SimulatedProxy proxy, int position, double expectedLoad, DeviceCredentials credentials)
            throws IOException {
        SimulatedDevice device =
                new SimulatedDevice(
                        "proxy-" + position,
                        scenario.zones().get(proxy.zone),
                        expectedLoad,
                        credentials.governorKey(),
                        credentials.hostKey(position - firstDevice));
        devices.add(device);
        proxy.attachDevice(device);
    }

    private SimulatedClients createClients(
            int position,
            int proxyPort,
            double expectedLoad,
            List<SimulatedClients.RequestClassSpec> requestClasses) {
        return new SimulatedClients(
                loops.clients(),
                position,
                new InetSocketAddress("127.0.0.1", proxyPort),
                requestClasses,
                () -> expectedLoad * requestRateFactor,
                scenario.clients().retryPolicy(),
                scenario.clients().tryShare(),
                requestIds,
                trace,
                scenario.seed() * 3000 + position);
    }

    /**
     * Draws the endpoints that a proxy of a zone uses until a governor sends tables to the proxy.
     */
    private List<InetSocketAddress> standingEndpoints(int zone) {
        boolean usesAllEndpoints = tableSource == ScenarioRunner.TableSource.even;
        List<SimulatedEndpoint> eligible =
                new ArrayList<>(
                        endpoints.stream()
                                .filter(endpoint -> usesAllEndpoints || endpoint.zone == zone)
                                .toList());
        Collections.shuffle(eligible, new Random(random.nextLong()));
        int count =
                usesAllEndpoints
                        ? eligible.size()
                        : Math.min(scenario.proxies().standing(), eligible.size());
        return eligible.subList(0, count).stream().map(SimulatedEndpoint::address).toList();
    }

    /** Starts sending requests. */
    void startClients() {
        clients.forEach(client -> loops.clients().tryExecute(client::start));
    }

    /** Stops sending requests. Requests that were sent may still end. */
    void stopClients() {
        clients.forEach(client -> loops.clients().tryExecute(client::stop));
    }

    /** Starts a proxy again, with newly drawn standing endpoints. */
    void restartProxy(int proxy) {
        List<InetSocketAddress> standingEndpoints = standingEndpoints(proxies.get(proxy).zone);
        onProxy(proxy, simulatedProxy -> simulatedProxy.start(standingEndpoints));
    }

    /** Runs an action on the loop of an endpoint. */
    void onEndpoint(int endpoint, Consumer<SimulatedEndpoint> action) {
        loops.endpoint(endpoint).tryExecute(() -> action.accept(endpoints.get(endpoint)));
    }

    /** Runs an action on the loop of a proxy. */
    void onProxy(int proxy, Consumer<SimulatedProxy> action) {
        loops.proxy(proxy).tryExecute(() -> action.accept(proxies.get(proxy)));
    }

    /** Runs an action on the loop of the proxy that a device belongs to. */
    void onDevice(int device, Consumer<SimulatedDevice> action) {
        loops.proxy(proxies.size() - devices.size() + device)
                .tryExecute(() -> action.accept(devices.get(device)));
    }

    /** Cuts a zone off from the other zones, or reconnects the zone. */
    void setZoneCut(int zone, boolean active) {
        partition.setCut(zone, active);
        governors.updateRelays();
    }

    /** Sets the factor by which the request rates of all clients are multiplied. */
    void setRequestRateFactor(double factor) {
        requestRateFactor = factor;
    }

    List<SimulatedEndpoint> endpoints() {
        return Collections.unmodifiableList(endpoints);
    }

    List<SimulatedProxy> proxies() {
        return Collections.unmodifiableList(proxies);
    }

    int deviceCount() {
        return devices.size();
    }

    SimulatedDiscovery discovery() {
        return discovery;
    }

    GovernorCluster governors() {
        return governors;
    }

    FleetLoops loops() {
        return loops;
    }

    /** Stops all members and their threads. */
    void stop() throws IOException, InterruptedException {
        governors.stop();
        for (SimulatedDevice device : devices) {
            device.stop();
        }
        loops.close();
    }
}
