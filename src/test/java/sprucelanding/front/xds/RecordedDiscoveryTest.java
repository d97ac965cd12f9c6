package sprucelanding.front.xds;

import io.envoyproxy.envoy.config.core.v3.Locality;
import io.envoyproxy.envoy.config.core.v3.Node;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryResponse;
import io.grpc.ManagedChannel;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import sprucelanding.control.delivery.Delivery;
import sprucelanding.testing.Recording;
import sprucelanding.testing.ScriptedCore;

/**
 * Discovery over real sockets, both forms: each response in hexadecimal digits and in protobuf's
 * text format, as it was recorded. Run with -Drecorded.write=true to write the recordings.
 * Recordings are never edited later: a difference is a defect of the step.
 */
@Timeout(120)
class RecordedDiscoveryTest {
    private static final String PREFIX = "type.googleapis.com/envoy.config.";
    static final String CLUSTERS = PREFIX + "cluster.v3.Cluster";
    static final String ENDPOINTS = PREFIX + "endpoint.v3.ClusterLoadAssignment";
    static final String LINES = PREFIX + "endpoint.v3.LbEndpoint";
    static final String ROUTES = PREFIX + "route.v3.RouteConfiguration";
    static final String COLLECTION = "xdstp://sprucelanding/envoy.config.endpoint.v3.LbEndpoint/";
    private Recording recording;
    private ScriptedCore core;
    private XdsFront front;
    private ManagedChannel channel;
    private int barriers;

    private void opens(String name, boolean byRate, long epoch) throws Exception {
        recording = new Recording(name);
        core = new ScriptedCore(byRate, epoch, message -> front.send(message, core));
        front =
                new XdsFront(
                        core, core, "here", new InetSocketAddress("127.0.0.1", 0), 65_536, 1500);
        front.start();
        channel = NettyChannelBuilder.forAddress("127.0.0.1", front.port()).usePlaintext().build();
    }

    @AfterEach
    void closes() {
        channel.shutdownNow();
        front.close();
    }

    static Node node(String name) {
        return Node.newBuilder()
                .setId(name)
                .setLocality(Locality.newBuilder().setZone("north"))
                .build();
    }

    /** Tables 0 and 1 as they are at first. */
    private void firstOrders(String... proxies) {
        orders(
                "tables 0 and 1",
                d -> {
                    d.setEntry(0, 1, 100);
                    d.setEntry(0, 2, 250.4);
                    d.setEntry(0, 3, 0.2);
                    d.setEntry(1, 2, 1e9);
                    d.setEntry(1, 4, 7);
                    d.setAdmissionLevel(0, 0, 0.25, 2);
                    d.setAdmissionLevel(1, 1, 1e6, 1);
                    d.setAdmissionLevel(1, 2, 123.567, 0);
                });
        for (String proxy : proxies) {
            int number = core.proxyId(proxy);
            orders(
                    "binds " + proxy,
                    d -> {
                        d.bind(number, 0, List.of(0));
                        d.bind(number, 1, List.of(1, 2));
                    });
        }
    }

    private DeltaClient deltaClient(String name) {
        return new DeltaClient(name, channel, recording, core);
    }

    private StateClient stateClient(String name) {
        return new StateClient(name, channel, recording, core);
    }

    private void orders(String title, Consumer<Delivery> orders) {
        recording.add("orders: " + title);
        core.applyOrders(orders);
    }

    private void deltaStory(String name, boolean byRate, long epoch) throws Exception {
        opens(name, byRate, epoch);
        DeltaClient client = deltaClient("proxy-1");
        subscribes(client);
        firstOrders("proxy-1");
        client.settles();
        changesEntries(client);
        changesLevels(client);
        replacesTable(client);
        refusesEntries(client);
        changesSubscriptions(client);
        client.out.onCompleted();
        client.endsWith();
        dialsAgain(client.held);
        recording.check();
    }

    private void subscribes(DeltaClient client) throws Exception {
        client.asks(CLUSTERS, Map.of(), "*");
        client.asks(ROUTES, Map.of(), "txns", "none");
        client.asks(ENDPOINTS, Map.of(), "t0", "t1", "t2", "x", "t-1");
        client.asks(
                LINES,
                Map.of(),
                COLLECTION + "t0/*",
                COLLECTION + "t1/*",
                COLLECTION + "t2/*",
                "else/t0/*",
                COLLECTION + "t0");
        barrier(client);
    }

    private void changesEntries(DeltaClient client) throws Exception {
        orders("weights", d -> d.setEntry(0, 1, 80));
        client.settles();
        orders("a removal", d -> d.setEntry(0, 2, 0));
        client.settles();
        orders("out everywhere", d -> d.setEjected(2, true));
        client.settles();
        orders("back", d -> d.setEjected(2, false));
        client.settles();
    }

    private void changesLevels(DeltaClient client) throws Exception {
        orders(
                "levels",
                d -> {
                    d.setAdmissionLevel(0, 0, 0.000001, 0);
                    d.setAdmissionLevel(1, 1, 1, 2);
                    d.setAdmissionLevel(1, 2, 1_000_000, 1);
                });
        client.settles();
        orders("levels that are whole", d -> d.setAdmissionLevel(0, 0, 1e6, 0));
        client.settles();
    }

    private void replacesTable(DeltaClient client) throws Exception {
        orders(
                "table 2 in place of 1",
                d -> {
                    d.setEntry(2, 5, 11);
                    d.setEntry(2, 6, 12);
                    d.bind(core.proxyId("proxy-1"), 2, List.of(1, 2));
                });
        client.settles();
        orders("table 1 is cleared", d -> d.clearTable(1));
        client.settles();
    }

    private void refusesEntries(DeltaClient client) throws Exception {
        orders("a line that is refused", d -> d.setEntry(2, 7, 13));
        client.answered(client.hears(), "not this one");
        client.settles();
        orders("its next version", d -> d.setEntry(2, 7, 14));
        client.settles();
        orders(
                "four lines that are refused at once",
                d -> {
                    d.setEntry(2, 5, 21);
                    d.setEntry(2, 6, 0);
                    d.setEntry(2, 8, 22);
                    d.setEntry(2, 9, 23);
                });
        client.answered(client.hears(), "too much");
        client.settles();
    }

    private void changesSubscriptions(DeltaClient client) throws Exception {
        client.says(
                "unsubscribes from the lines of table 2",
                client.about(LINES).addResourceNamesUnsubscribe(COLLECTION + "t2/*").build());
        barrier(client);
        orders("a line nobody asked for", d -> d.setEntry(2, 5, 31));
        client.settles();
        client.asks(LINES, Map.of(), COLLECTION + "t2/*");
        barrier(client);
        client.settles();
    }

    private void dialsAgain(Map<String, Map<String, String>> held) throws Exception {
        orders(
                "meanwhile",
                d -> {
                    d.setEntry(0, 1, 81);
                    d.setEntry(0, 3, 0);
                });
        DeltaClient again = deltaClient("proxy-1");
        again.asksForAll(held);
        barrier(again);
        orders(
                "binds again",
                d -> {
                    d.bind(core.proxyId("proxy-1"), 0, List.of(0));
                    d.bind(core.proxyId("proxy-1"), 2, List.of(1, 2));
                });
        again.settles();
    }

    /** An answer to no message: once it has come, so have the requests before it. */
    private void barrier(DeltaClient client) throws Exception {
        String nonce = "90000" + ++barriers;
        client.out.onNext(client.about(CLUSTERS).setResponseNonce(nonce).build());
        core.awaitAnswer(client.name, nonce);
    }

    @Test
    void changesByShares() throws Exception {
        deltaStory("discovery-delta-shares", false, 0);
    }

    @Test
    void changesByRatesUnderAnEpoch() throws Exception {
        deltaStory("discovery-delta-rates", true, 4_294_967_299L);
    }

    @Test
    void wholeStates() throws Exception {
        opens("discovery-whole-states", false, 7);
        StateClient client = stateClient("proxy-2");
        client.asks(CLUSTERS);
        core.awaitSubscribed("proxy-2");
        firstOrders("proxy-2");
        DiscoveryResponse clusters = client.hears();
        client.asks(ROUTES, "txns");
        client.says(
                "a stale nonce",
                DiscoveryRequest.newBuilder()
                        .setTypeUrl(CLUSTERS)
                        .setVersionInfo("77")
                        .setResponseNonce("77")
                        .build());
        client.asks(ENDPOINTS, "t0", "t1");
        client.answers(clusters, null);
        core.awaitAnswer("proxy-2", clusters.getNonce());
        client.settles();
        orders("weights", d -> d.setEntry(0, 1, 80));
        client.settles();
        orders("a removal", d -> d.setEntry(0, 2, 0));
        client.settles();
        orders("out everywhere", d -> d.setEjected(1, true));
        client.settles();
        orders("back", d -> d.setEjected(1, false));
        client.settles();
        orders("a weight that is refused", d -> d.setEntry(1, 4, 8));
        client.answered(client.hears(), "no");
        client.settles();
        orders("the next one", d -> d.setEntry(1, 4, 9));
        client.settles();
        orders("levels", d -> d.setAdmissionLevel(0, 0, 0.5, 1));
        client.settles();
        orders("all on table 0", d -> d.bind(core.proxyId("proxy-2"), 0, List.of(0, 1, 2)));
        client.settles();
        recording.check();
    }

    @Test
    void streamsThatAreEndedAreToldWhy() throws Exception {
        opens("discovery-refusals", false, 0);
        DeltaClient unknown = deltaClient("unknown-type");
        unknown.asks("type.googleapis.com/nobody.knows.This", Map.of());
        unknown.endsWith();
        DeltaClient nameless = deltaClient("");
        nameless.asks(CLUSTERS, Map.of());
        nameless.endsWith();
        DeltaClient longName = deltaClient("long-name");
        longName.out.onNext(
                longName.about(ENDPOINTS).addResourceNamesSubscribe("t".repeat(513)).build());
        longName.endsWith();
        DeltaClient many = deltaClient("many-names");
        DeltaDiscoveryRequest.Builder request = many.about(ENDPOINTS);
        for (int i = 0; i <= 2000; i++) {
            request.addResourceNamesSubscribe("t" + i);
        }
        many.out.onNext(request.build());
        many.endsWith();
        StateClient state = stateClient("state-unknown-type");
        state.asks("", "x");
        state.endsWith();
        recording.check();
    }
}
