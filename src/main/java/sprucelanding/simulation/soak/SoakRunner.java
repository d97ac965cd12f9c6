package sprucelanding.simulation.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.runtime.eventloop.HttpParser;
import sprucelanding.runtime.eventloop.TcpConnection;

/** Runs one plan: real governor processes, the fleet around them, the faults, and the checks. */
public final class SoakRunner implements FleetProxy.Host {
    /**
     * What came of a soak.
     *
     * @param seed the plan's
     * @param violations by rule, as the fleet saw them
     * @param examples the first violations of each rule
     * @param joins times that a proxy dialled a governor
     * @param messages messages that governors wrote
     * @param overdue removals that governors themselves counted as not acknowledged by their
     *     deadline, lost acknowledgements among them
     */
    public record Report(
            long seed,
            Map<String, Integer> violations,
            List<String> examples,
            long joins,
            long messages,
            long overdue) {
        /** Whether all rules were kept. */
        public boolean kept() {
            return violations.isEmpty();
        }

        @Override
        public String toString() {
            return "seed "
                    + seed
                    + ": "
                    + (kept() ? "no violation" : "violations " + violations)
                    + ", "
                    + joins
                    + " joins, "
                    + messages
                    + " messages, "
                    + overdue
                    + " removals counted as late"
                    + String.join("", examples.stream().map(e -> "\n  " + e).toList());
        }
    }

    private static final String[] ZONES = {"a", "b", "c"};
    private static final String[] CLASSES = {"read", "write"};
    private static final int MAX_UNREAD_BYTES =
            128 << 10; // bytes that a proxy leaves unread at most
    private static final double CHECK_INTERVAL = 50; // ms
    private static final double PING_INTERVAL = 40; // ms
    private static final double START_LIMIT = 30_000; // ms for all governors to be ready
    private static final double DRAIN_TIME = 4000; // ms from draining to gone
    private static final double REPLACEMENT_DELAY =
            700; // ms until what replaces an endpoint is ready
    private static final double WARMUP_MILLIS = 6000; // ms

    private final SoakPlan plan;
    private final Path folder;
    private final SplittableRandom random;
    private final EventLoop loop;
    private final SoakEndpoints endpoints;
    private final InvariantChecker checker;
    private final int port;
    private final List<Governor> governors = new ArrayList<>();
    private final List<FleetProxy> proxies = new ArrayList<>();
    private final CompletableFuture<Report> done = new CompletableFuture<>();
    private double acknowledgementLoss;
    private long joins;
    private long messages;

    /** A governor process, discovery as it sees it, and its channel. */
    private final class Governor {
        final int number;
        final ServeProcess process;
        final DiscoveryServer discovery;
        final Channel channel;
        final int listenPort;
        final int discoveryPort;
        double upSince = Double.POSITIVE_INFINITY;

        /** A fault has ended it, and it is not started again yet. */
        boolean down = true;

        Governor(int number) throws IOException {
            this.number = number;
            process = new ServeProcess(number, folder);
            discovery = new DiscoveryServer(loop, endpoints);
            channel = new Channel(loop, plan.linesPerSecond() / 1000);
            listenPort = freePort();
            discoveryPort =
                    loop.localPort(
                            loop.listen(
                                    loopback(0),
                                    64,
                                    c ->
                                            loop.register(
                                                    c,
                                                    DiscoveryServer.unread(),
                                                    discovery.accepted())));
        }

        void start() {
            discovery.processStarted(EventLoop.nowMillis());
            channel.clear();
            down = false;
            process.start(config(this));
            ping();
        }

        /** Asks for a sign of life until it answers. */
        private void ping() {
            loop.connect(
                    loopback(listenPort),
                    null,
                    MAX_UNREAD_BYTES,
                    new TcpConnection.Listener() {
                        private boolean answered;

                        @Override
                        public void onConnected(TcpConnection connection) {
                            connection.write(
                                    "{\"msg\":\"ping\"}\n".getBytes(StandardCharsets.US_ASCII));
                        }

                        @Override
                        public void onReceived(TcpConnection connection, ByteBuffer input) {
                            answered = true;
                            upSince = EventLoop.nowMillis();
                            proxies.stream()
                                    .filter(
                                            proxy ->
                                                    preferredGovernor(proxy) == Governor.this
                                                            && proxy.governor() >= 0)
                                    .forEach(
                                            proxy ->
                                                    loop.schedule(
                                                            3000 + random.nextInt(5000),
                                                            proxy::handOver));
                            connection.close();
                        }

                        @Override
                        public void onClosed(TcpConnection connection, String reason) {
                            if (!answered && !down) {
                                loop.schedule(PING_INTERVAL, Governor.this::ping);
                            }
                        }
                    });
        }

        /** A fault ended it; it comes back after the downtime. */
        void goDown(double downtime) {
            down = true;
            upSince = Double.POSITIVE_INFINITY;
            loop.schedule(downtime, this::start);
        }
    }

    /**
     * Runs a plan in a folder for configurations and logs; throws IOException if the fleet cannot
     * be set up.
     */
    public static Report run(SoakPlan plan, Path folder) throws IOException, InterruptedException {
        Files.createDirectories(folder);
        SoakRunner runner = new SoakRunner(plan, folder);
        try {
            Thread thread = new Thread(runner.loop, "soak");
            thread.setDaemon(true);
            runner.start();
            thread.start();
            return runner.done.get(
                    (long) (START_LIMIT + 2 * plan.duration()), TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException("the soak of seed " + plan.seed() + " did not end: " + e, e);
        } finally {
            for (Governor each : runner.governors) {
                each.down = true;
                each.process.stop();
            }
            runner.loop.close();
        }
    }

    private SoakRunner(SoakPlan plan, Path folder) throws IOException {
        this.plan = plan;
        this.folder = folder;
        random = new SplittableRandom(plan.seed());
        loop = new EventLoop("soak");
        port =
                loop.localPort(
                        loop.listen(
                                loopback(0),
                                256,
                                c ->
                                        loop.register(
                                                c, MAX_UNREAD_BYTES, new HealthCheckResponder())));
        endpoints = new SoakEndpoints(plan.endpoints(), ZONES, "127.0.0.1:" + port);
        checker = new InvariantChecker(plan);
        for (int i = 0; i < plan.governors(); i++) {
            governors.add(new Governor(i));
        }
        List<String> ready = endpoints.ready().stream().map(SoakEndpoints.Change::uid).toList();
        for (int i = 0; i < plan.proxies(); i++) {
            List<String> standing = new ArrayList<>();
            for (int k = 0; k < 6; k++) {
                standing.add(ready.get(random.nextInt(ready.size())));
            }
            proxies.add(new FleetProxy(i, ZONES[i % ZONES.length], loop, this, CLASSES, standing));
        }
    }

    private void start() {
        governors.forEach(Governor::start);
        awaitReady();
    }

    private void awaitReady() {
        if (governors.stream().anyMatch(governor -> governor.upSince == Double.POSITIVE_INFINITY)) {
            loop.schedule(PING_INTERVAL, this::awaitReady);
            return;
        }
        proxies.forEach(proxy -> loop.schedule(random.nextInt(300), proxy::connect));
        loop.schedule(1000, this::inject);
    }

    private void inject() {
        for (SoakFault fault : plan.faults()) {
            loop.schedule(fault.at(), () -> inject(fault));
        }
        loop.scheduleWithFixedDelay(CHECK_INTERVAL, this::check);
        loop.schedule(plan.duration(), this::finish);
    }

    private void inject(SoakFault fault) {
        if (fault instanceof SoakFault.Kill kill) {
            kill.governors()
                    .forEach(
                            candidate ->
                                    endGovernor(governors.get(candidate), kill.downtime(), true));
        } else if (fault instanceof SoakFault.Restart restart) {
            endGovernor(governors.get(restart.governor()), restart.downtime(), false);
        } else if (fault instanceof SoakFault.Pause pauseFault) {
            pause(governors.get(pauseFault.governor()), pauseFault.length());
        } else if (fault instanceof SoakFault.Replace replacement) {
            replace(replacement.count());
        } else if (fault instanceof SoakFault.ResetStreams resetStreams) {
            chooseProxies(resetStreams.share()).forEach(FleetProxy::reset);
        } else if (fault instanceof SoakFault.SilenceStreams silenceStreams) {
            chooseProxies(silenceStreams.share()).forEach(FleetProxy::silence);
        } else if (fault instanceof SoakFault.SilenceDiscovery silenceDiscovery) {
            governors.get(silenceDiscovery.governor()).discovery.silence(true);
            loop.schedule(
                    silenceDiscovery.length(),
                    () -> governors.get(silenceDiscovery.governor()).discovery.silence(false));
        } else if (fault instanceof SoakFault.ResetDiscovery resetDiscovery) {
            governors.get(resetDiscovery.governor()).discovery.reset();
        } else if (fault instanceof SoakFault.LoseAcknowledgements loseAcknowledgements) {
            acknowledgementLoss = loseAcknowledgements.probability();
            loop.schedule(loseAcknowledgements.length(), () -> acknowledgementLoss = 0);
        } else if (fault instanceof SoakFault.OpenUnjoinedConnections unjoinedConnections) {
            openUnjoinedConnections(
                    governors.get(unjoinedConnections.governor()), unjoinedConnections.count());
        }
    }

    private void endGovernor(Governor governor, double downtime, boolean killed) {
        if (governor.down || governor.upSince == Double.POSITIVE_INFINITY) {
            return;
        }
        if (killed) {
            governor.process.kill();
        } else {
            governor.process.signal("TERM");
            loop.schedule(
                    700,
                    () -> {
                        if (governor.down && governor.process.isAlive()) {
                            governor.process.kill();
                        }
                    });
        }
        governor.goDown(downtime + (killed ? 0 : 800));
    }

    private void pause(Governor governor, double length) {
        if (!governor.down && governor.process.isAlive()) {
            governor.process.signal("STOP");
            loop.schedule(
                    length,
                    () -> {
                        if (governor.process.isAlive()) {
                            governor.process.signal("CONT");
                        }
                    });
        }
    }

    private void replace(int count) {
        List<SoakEndpoints.Change> ready = endpoints.ready();
        List<SoakEndpoints.Change> oldest = ready.subList(0, Math.min(count, ready.size() * 2 / 3));
        double now = EventLoop.nowMillis();
        oldest.forEach(
                endpoint -> endpoints.change(endpoint.uid(), SoakEndpoints.State.DRAINING, now));
        publish();
        loop.schedule(
                REPLACEMENT_DELAY,
                () -> {
                    oldest.forEach(
                            endpoint ->
                                    endpoints.add(
                                            endpoint.zone(),
                                            System.currentTimeMillis(),
                                            EventLoop.nowMillis()));
                    publish();
                });
        loop.schedule(
                DRAIN_TIME,
                () -> {
                    oldest.forEach(
                            endpoint ->
                                    endpoints.change(
                                            endpoint.uid(),
                                            SoakEndpoints.State.GONE,
                                            EventLoop.nowMillis()));
                    publish();
                });
    }

    private void publish() {
        governors.forEach(governor -> governor.discovery.publish());
    }

    private List<FleetProxy> chooseProxies(double share) {
        return proxies.stream().filter(proxy -> random.nextDouble() < share).toList();
    }

    private void openUnjoinedConnections(Governor governor, int count) {
        for (int i = 0; i < count; i++) {
            loop.connect(
                    loopback(governor.listenPort),
                    null,
                    MAX_UNREAD_BYTES,
                    new TcpConnection.Listener() {
                        @Override
                        public void onReceived(TcpConnection connection, ByteBuffer input) {
                            // whatever it is told
                        }
                    });
        }
    }

    private void check() {
        double now = EventLoop.nowMillis();
        List<SoakEndpoints.Change> removed = endpoints.removed();
        for (FleetProxy proxy : proxies) {
            Governor governor = proxy.governor() < 0 ? null : governors.get(proxy.governor());
            if (governor != null && !governor.down && governor.upSince < now) {
                checker.check(proxy, governor.discovery, removed, governor.upSince, now);
            }
        }
        for (Governor governor : governors) {
            if (!governor.down && !governor.process.isAlive()) {
                checker.crashed(governor.number);
                governor.goDown(0);
            }
        }
    }

    private void finish() {
        long overdue = 0;
        for (Governor governor : governors) {
            String failure = governor.process.failureLogged();
            if (failure != null) {
                checker.failed(governor.number, failure);
            }
            overdue += governor.process.overdueLogged();
        }
        Map<String, Integer> violations = new TreeMap<>();
        checker.violations().forEach((rule, count) -> violations.put(rule.name(), count));
        done.complete(
                new Report(
                        plan.seed(),
                        violations,
                        List.copyOf(checker.examples()),
                        joins,
                        messages,
                        overdue));
    }

    private Governor preferredGovernor(FleetProxy proxy) {
        return governors.get(proxy.number % governors.size());
    }

    @Override
    public int governorFor(FleetProxy proxy) {
        List<Governor> available =
                governors.stream()
                        .filter(
                                candidate ->
                                        !candidate.down
                                                && candidate.upSince < EventLoop.nowMillis())
                        .toList();
        Governor preferred = preferredGovernor(proxy);
        if (available.contains(preferred)) {
            return preferred.number;
        }
        return available.isEmpty() ? -1 : available.get(random.nextInt(available.size())).number;
    }

    @Override
    public TcpConnection dial(int governor, TcpConnection.Listener listener) {
        joins++;
        return loop.connect(
                loopback(governors.get(governor).listenPort), null, MAX_UNREAD_BYTES, listener);
    }

    @Override
    public Channel channel(int governor) {
        return governors.get(governor).channel;
    }

    @Override
    public boolean dropsAcknowledgement() {
        return random.nextDouble() < acknowledgementLoss;
    }

    @Override
    public void messageSent(FleetProxy proxy, int governor, int lines) {
        messages++;
        checker.checkMessage(
                proxy,
                governors.get(governor).channel.waitingLines() + lines,
                EventLoop.nowMillis());
    }

    @Override
    public double redialDelay() {
        return 300 + random.nextInt(1200);
    }

    private String config(Governor governor) {
        String knownEndpoints = endpoints.json(endpoints.responseSince(-1), true);
        return "{\"name\":\"n"
                + governor.number
                + "\",\"listen\":\"127.0.0.1:"
                + governor.listenPort
                + "\",\"discovery\":\"127.0.0.1:"
                + governor.discoveryPort
                + "\",\"seed\":\""
                + Long.toHexString(plan.seed() + governor.number)
                + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1240},\"known\":"
                + knownEndpoints
                + ",\"settings\":"
                + settings()
                + "}";
    }

    private String settings() {
        return "{\"balancers\":"
                + plan.governors()
                + ",\"membershipMode\":\"pushed\",\"tickUs\":5000,"
                + "\"classes\":[{\"name\":\"read\",\"effect\":\"pure\",\"worth\":1,\"promiseUs\":750000},"
                + "{\"name\":\"write\",\"effect\":\"side_effect\",\"worth\":2,\"promiseUs\":800000}],"
                + "\"zones\":[\"a\",\"b\",\"c\"],\"kinds\":[\"m1\"],\"report\":{\"how\":\"answers\",\"names\":[\"cpu_share\"]},"
                + "\"contract\":{\"coldFrom\":0.3,\"warmAfterUs\":"
                + micros(WARMUP_MILLIS)
                + ",\"drainGraceUs\":"
                + micros(plan.grace())
                + "},\"familyInfo\":{\"admit\":\"share\",\"proxies\":"
                + plan.proxies()
                + ",\"egressPerS\":"
                + plan.linesPerSecond()
                + ",\"head\":"
                + SoakPlan.MESSAGE_OVERHEAD_LINES
                + ",\"queueCap\":"
                + plan.queueLimit()
                + ",\"updateCap\":"
                + plan.messageLimit()
                + ",\"reloadSpanUs\":10000000,\"reportEveryUs\":1000000,\"transitMaxUs\":800000},"
                + "\"ceilings\":{\"probes\":true,\"connectTimeoutUs\":250000}}";
    }

    private static long micros(double ms) {
        return Math.round(ms * 1000);
    }

    private static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    /** Every endpoint answers every probe at once, half busy. */
    private static final class HealthCheckResponder implements TcpConnection.Listener {
        private static final byte[] BODY = "TEXT cpu_share=0.5".getBytes(StandardCharsets.US_ASCII);

        @Override
        public void onReceived(TcpConnection connection, ByteBuffer input) {
            connection.write(HttpParser.response(200, BODY, "Connection", "close"));
            connection.finish(1000);
        }
    }
}
