package sprucelanding.front.xds;

import com.google.protobuf.Message;
import com.google.protobuf.TextFormat;
import com.google.protobuf.TypeRegistry;
import io.envoyproxy.envoy.config.cluster.v3.Cluster;
import io.envoyproxy.envoy.config.core.v3.Address;
import io.envoyproxy.envoy.config.core.v3.Locality;
import io.envoyproxy.envoy.config.core.v3.Node;
import io.envoyproxy.envoy.config.core.v3.SocketAddress;
import io.envoyproxy.envoy.config.endpoint.v3.ClusterLoadAssignment;
import io.envoyproxy.envoy.config.endpoint.v3.ClusterStats;
import io.envoyproxy.envoy.config.endpoint.v3.EndpointLoadMetricStats;
import io.envoyproxy.envoy.config.endpoint.v3.LbEndpoint;
import io.envoyproxy.envoy.config.endpoint.v3.UpstreamEndpointStats;
import io.envoyproxy.envoy.config.endpoint.v3.UpstreamLocalityStats;
import io.envoyproxy.envoy.config.route.v3.RouteConfiguration;
import io.envoyproxy.envoy.extensions.filters.http.local_ratelimit.v3.LocalRateLimit;
import io.envoyproxy.envoy.service.discovery.v3.AggregatedDiscoveryServiceGrpc;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryResponse;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryResponse;
import io.envoyproxy.envoy.service.discovery.v3.Resource;
import io.envoyproxy.envoy.service.load_stats.v3.LoadReportingServiceGrpc;
import io.envoyproxy.envoy.service.load_stats.v3.LoadStatsRequest;
import io.envoyproxy.envoy.service.load_stats.v3.LoadStatsResponse;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.StreamObserver;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
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
    private static final String CLUSTERS = PREFIX + "cluster.v3.Cluster";
    private static final String ENDPOINTS = PREFIX + "endpoint.v3.ClusterLoadAssignment";
    private static final String LINES = PREFIX + "endpoint.v3.LbEndpoint";
    private static final String ROUTES = PREFIX + "route.v3.RouteConfiguration";
    private static final String COLLECTION =
            "xdstp://sprucelanding/envoy.config.endpoint.v3.LbEndpoint/";
    private static final int SECONDS = 20;
    private static final TextFormat.Printer PRINTER =
            TextFormat.printer()
                    .usingTypeRegistry(
                            TypeRegistry.newBuilder()
                                    .add(Cluster.getDescriptor())
                                    .add(ClusterLoadAssignment.getDescriptor())
                                    .add(LbEndpoint.getDescriptor())
                                    .add(RouteConfiguration.getDescriptor())
                                    .add(LocalRateLimit.getDescriptor())
                                    .build());

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

    private static Node node(String name) {
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

    private void orders(String title, Consumer<Delivery> orders) {
        recording.add("orders: " + title);
        core.applyOrders(orders);
    }

    /** A client of one stream: what it says and hears is recorded. */
    private abstract class Client<Q, R extends Message> implements StreamObserver<R> {
        final String name;
        final BlockingQueue<R> heard = new LinkedBlockingQueue<>();
        final BlockingQueue<Status> ended = new LinkedBlockingQueue<>();
        private final int before;
        private int seen;
        StreamObserver<Q> out;

        Client(String name) {
            this.name = name;
            this.before = name.isEmpty() ? 0 : core.sentCount(name);
        }

        abstract void answers(R response, String error);

        abstract String nonce(R response);

        abstract String type(R response);

        void says(String what, Q request) {
            recording.add(name + " says: " + what);
            out.onNext(request);
        }

        R hears() throws Exception {
            R response = heard.poll(SECONDS, TimeUnit.SECONDS);
            if (response == null) {
                throw new AssertionError("no response; ended: " + ended.poll());
            }
            seen++;
            recording.add(name + " hears", response.toByteArray());
            recording.addLines(PRINTER.printToString(response).indent(4));
            return response;
        }

        /** Accepts all that comes, until nothing more is under way. */
        void settles() throws Exception {
            while (seen < core.sentCount(name) - before) {
                answered(hears(), null);
            }
            recording.add(name + " is settled");
        }

        void answered(R response, String error) throws Exception {
            recording.add(
                    name
                            + (error == null ? " accepts " : " refuses ")
                            + nonce(response)
                            + " of "
                            + type(response));
            answers(response, error);
            core.awaitAnswer(name, nonce(response));
        }

        void endsWith() throws Exception {
            Status status = ended.poll(SECONDS, TimeUnit.SECONDS);
            recording.add(name + " is ended: " + status.getCode() + " " + status.getDescription());
        }

        @Override
        public void onNext(R response) {
            heard.add(response);
        }

        @Override
        public void onError(Throwable t) {
            ended.add(Status.fromThrowable(t));
        }

        @Override
        public void onCompleted() {
            ended.add(Status.OK);
        }
    }

    private final class DeltaClient extends Client<DeltaDiscoveryRequest, DeltaDiscoveryResponse> {
        final Map<String, Map<String, String>> held = new LinkedHashMap<>();

        DeltaClient(String name) {
            super(name);
            out = AggregatedDiscoveryServiceGrpc.newStub(channel).deltaAggregatedResources(this);
        }

        DeltaDiscoveryRequest.Builder about(String type) {
            return DeltaDiscoveryRequest.newBuilder().setNode(node(name)).setTypeUrl(type);
        }

        void asks(String type, Map<String, String> held, String... names) {
            says(
                    "subscribes to " + List.of(names) + " of " + type + ", holds " + held,
                    about(type)
                            .addAllResourceNamesSubscribe(List.of(names))
                            .putAllInitialResourceVersions(held)
                            .build());
        }

        void asksForAll(Map<String, Map<String, String>> held) {
            asks(CLUSTERS, held.getOrDefault(CLUSTERS, Map.of()), "*");
            asks(ROUTES, held.getOrDefault(ROUTES, Map.of()), "txns");
            asks(ENDPOINTS, held.getOrDefault(ENDPOINTS, Map.of()), "t0", "t1", "t2");
            asks(
                    LINES,
                    held.getOrDefault(LINES, Map.of()),
                    COLLECTION + "t0/*",
                    COLLECTION + "t1/*",
                    COLLECTION + "t2/*");
        }

        @Override
        void answers(DeltaDiscoveryResponse r, String error) {
            DeltaDiscoveryRequest.Builder q =
                    DeltaDiscoveryRequest.newBuilder()
                            .setTypeUrl(r.getTypeUrl())
                            .setResponseNonce(r.getNonce());
            if (error != null) {
                q.setErrorDetail(com.google.rpc.Status.newBuilder().setCode(3).setMessage(error));
            } else {
                Map<String, String> names =
                        held.computeIfAbsent(r.getTypeUrl(), x -> new LinkedHashMap<>());
                for (Resource each : r.getResourcesList()) {
                    names.put(each.getName(), each.getVersion());
                }
                r.getRemovedResourcesList().forEach(names::remove);
            }
            out.onNext(q.build());
        }

        @Override
        String nonce(DeltaDiscoveryResponse r) {
            return r.getNonce();
        }

        @Override
        String type(DeltaDiscoveryResponse r) {
            return r.getTypeUrl();
        }
    }

    private final class StateClient extends Client<DiscoveryRequest, DiscoveryResponse> {
        final Map<String, List<String>> names = new LinkedHashMap<>();

        StateClient(String name) {
            super(name);
            out = AggregatedDiscoveryServiceGrpc.newStub(channel).streamAggregatedResources(this);
        }

        void asks(String type, String... wanted) {
            names.put(type, List.of(wanted));
            says(
                    "wants " + List.of(wanted) + " of " + type,
                    DiscoveryRequest.newBuilder()
                            .setNode(node(name))
                            .setTypeUrl(type)
                            .addAllResourceNames(List.of(wanted))
                            .build());
        }

        @Override
        void answers(DiscoveryResponse r, String error) {
            DiscoveryRequest.Builder q =
                    DiscoveryRequest.newBuilder()
                            .setTypeUrl(r.getTypeUrl())
                            .setVersionInfo(error == null ? r.getVersionInfo() : "")
                            .addAllResourceNames(names.getOrDefault(r.getTypeUrl(), List.of()))
                            .setResponseNonce(r.getNonce());
            if (error != null) {
                q.setErrorDetail(com.google.rpc.Status.newBuilder().setCode(3).setMessage(error));
            }
            out.onNext(q.build());
        }

        @Override
        String nonce(DiscoveryResponse r) {
            return r.getNonce();
        }

        @Override
        String type(DiscoveryResponse r) {
            return r.getTypeUrl();
        }
    }

    private void deltaStory(String name, boolean byRate, long epoch) throws Exception {
        opens(name, byRate, epoch);
        DeltaClient client = new DeltaClient("proxy-1");
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
        firstOrders("proxy-1");
        client.settles();
        orders("weights", d -> d.setEntry(0, 1, 80));
        client.settles();
        orders("a removal", d -> d.setEntry(0, 2, 0));
        client.settles();
        orders("out everywhere", d -> d.setEjected(2, true));
        client.settles();
        orders("back", d -> d.setEjected(2, false));
        client.settles();
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

        client.says(
                "unsubscribes from the lines of table 2",
                client.about(LINES).addResourceNamesUnsubscribe(COLLECTION + "t2/*").build());
        barrier(client);
        orders("a line nobody asked for", d -> d.setEntry(2, 5, 31));
        client.settles();
        client.asks(LINES, Map.of(), COLLECTION + "t2/*");
        barrier(client);
        client.settles();
        client.out.onCompleted();
        client.endsWith();

        orders(
                "meanwhile",
                d -> {
                    d.setEntry(0, 1, 81);
                    d.setEntry(0, 3, 0);
                });
        DeltaClient again = new DeltaClient("proxy-1");
        again.asksForAll(client.held);
        barrier(again);
        orders(
                "binds again",
                d -> {
                    d.bind(core.proxyId("proxy-1"), 0, List.of(0));
                    d.bind(core.proxyId("proxy-1"), 2, List.of(1, 2));
                });
        again.settles();
        recording.check();
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
        StateClient client = new StateClient("proxy-2");
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
        DeltaClient unknown = new DeltaClient("unknown-type");
        unknown.asks("type.googleapis.com/nobody.knows.This", Map.of());
        unknown.endsWith();
        DeltaClient nameless = new DeltaClient("");
        nameless.asks(CLUSTERS, Map.of());
        nameless.endsWith();
        DeltaClient longName = new DeltaClient("long-name");
        longName.out.onNext(
                longName.about(ENDPOINTS).addResourceNamesSubscribe("t".repeat(513)).build());
        longName.endsWith();
        DeltaClient many = new DeltaClient("many-names");
        DeltaDiscoveryRequest.Builder q = many.about(ENDPOINTS);
        for (int i = 0; i <= 2000; i++) {
            q.addResourceNamesSubscribe("t" + i);
        }
        many.out.onNext(q.build());
        many.endsWith();
        StateClient state = new StateClient("state-unknown-type");
        state.asks("", "x");
        state.endsWith();
        recording.check();
    }

    @Test
    void loadReports() throws Exception {
        opens("load-reports", false, 0);
        BlockingQueue<LoadStatsResponse> heard = new LinkedBlockingQueue<>();
        StreamObserver<LoadStatsRequest> out =
                LoadReportingServiceGrpc.newStub(channel)
                        .streamLoadStats(
                                new StreamObserver<>() {
                                    @Override
                                    public void onNext(LoadStatsResponse r) {
                                        heard.add(r);
                                    }

                                    @Override
                                    public void onError(Throwable t) {}

                                    @Override
                                    public void onCompleted() {}
                                });
        out.onNext(LoadStatsRequest.newBuilder().setNode(node("proxy-1")).build());
        LoadStatsResponse first = heard.poll(SECONDS, TimeUnit.SECONDS);
        recording.add("the first response", first.toByteArray());
        recording.addLines(PRINTER.printToString(first).indent(4));
        UpstreamLocalityStats.Builder locality =
                UpstreamLocalityStats.newBuilder()
                        .addLoadMetricStats(metric("txns.read", 17, 0))
                        .addLoadMetricStats(metric("txns.nobody", 18, 0))
                        .addLoadMetricStats(metric("write", 19, 0));
        for (int port : List.of(8001, 8002, 8001, 9999)) {
            locality.addUpstreamEndpointStats(
                    UpstreamEndpointStats.newBuilder()
                            .setAddress(
                                    Address.newBuilder()
                                            .setSocketAddress(
                                                    SocketAddress.newBuilder()
                                                            .setAddress("10.0.0." + (port - 8000))
                                                            .setPortValue(port)))
                            .setTotalIssuedRequests(port - 7000)
                            .setTotalSuccessfulRequests(port - 7500)
                            .setTotalErrorRequests(port - 7900)
                            .addLoadMetricStats(metric("util", 40, 12.5))
                            .addLoadMetricStats(metric("answer_ms", 50, 600.25)));
        }
        out.onNext(
                LoadStatsRequest.newBuilder()
                        .addClusterStats(
                                ClusterStats.newBuilder()
                                        .setClusterName("t0")
                                        .setLoadReportInterval(
                                                com.google.protobuf.Duration.newBuilder()
                                                        .setSeconds(1)
                                                        .setNanos(250_000_000))
                                        .addUpstreamLocalityStats(locality))
                        .build());
        var report = core.awaitReport();
        recording.add("proxy " + report.proxyId() + " over " + report.spanMillis() + " ms");
        recording.add("came by product: " + report.requestsByClass());
        report.endpointStats()
                .forEach(
                        m ->
                                recording.add(
                                        String.format(
                                                "replica %d: issued %d, settled %d, voided %d,"
                                                        + " answers %s ms, loads %s told %d",
                                                m.endpointId(),
                                                m.issued(),
                                                m.completed(),
                                                m.failed(),
                                                m.totalResponseMillis(),
                                                m.loadSum(),
                                                m.loadSamples())));
        recording.check();
    }

    private static EndpointLoadMetricStats metric(String name, long count, double total) {
        return EndpointLoadMetricStats.newBuilder()
                .setMetricName(name)
                .setNumRequestsFinishedWithMetric(count)
                .setTotalMetricValue(total)
                .build();
    }
}
