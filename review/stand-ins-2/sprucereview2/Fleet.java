package sprucereview2;

import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Governors as processes of their own, with stand-ins for all that they speak with. */
final class Fleet implements AutoCloseable {
    /**
     * What is reported as one line: the results at one replica, of the proxies of one zone that
     * joined one governor; or the requests of a class that came to a proxy, which counts them.
     */
    private static final class Sums {
        Governor governor;
        String zone;
        String uid;
        int tries;
        int bad;
        Proxy proxy;
        int requestClass;
        double since = Recorder.now();
    }

    final Plan plan;
    final Recorder record;
    final Judge judge = new Judge(this);
    final Map<String, Replica> replicas = new ConcurrentHashMap<>();
    final List<Governor> governors = new ArrayList<>();
    final List<Discovery> discoveries = new ArrayList<>();
    final List<Proxy> proxies = new ArrayList<>();
    private final Path folder;
    private final SplittableRandom random = new SplittableRandom(1);
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(3);
    private final Map<String, Sums> sums = new ConcurrentHashMap<>();
    private final Map<String, Socket> collectors = new ConcurrentHashMap<>();
    volatile boolean isClosed;
    volatile double lostAcknowledgements;
    volatile double trafficFactor = 1;

    /** By governor, whether proxies may choose it. */
    final List<Boolean> isReachable = new ArrayList<>();

    Fleet(Plan plan, Path recordFile) throws IOException {
        this.plan = plan;
        record = new Recorder(recordFile);
        folder = Files.createTempDirectory("review2");
        for (int i = 0; i < plan.replicas; i++) {
            addReplica("s-" + (100 + i), plan.zones[i % plan.zones.length]);
        }
        for (int i = 0; i < plan.governors; i++) {
            governors.add(new Governor(i, folder, record, plan.linesPerSecond));
            discoveries.add(new Discovery(record));
            isReachable.add(true);
        }
    }

    Replica addReplica(String uid, String zone) throws IOException {
        Replica replica =
                new Replica(uid, zone, plan.cores, plan.coldFrom, plan.warmAfter);
        replicas.put(uid, replica);
        return replica;
    }

    Discovery discoveryOf(Governor governor) {
        return discoveries.get(governor.number);
    }

    /** Writes changed entries to all governors. */
    void publish(List<JsonObject> entries) {
        discoveries.forEach(discovery -> discovery.publish(entries));
    }

    void startGovernors() throws IOException, InterruptedException {
        List<JsonObject> all = new ArrayList<>();
        replicas.values().stream()
                .sorted((a, b) -> a.uid.compareTo(b.uid))
                .forEach(replica -> all.add(replica.entry()));
        publish(all);
        for (Governor governor : governors) {
            startGovernor(governor);
        }
    }

    void startGovernor(Governor governor) throws IOException, InterruptedException {
        Discovery discovery = discoveryOf(governor);
        governor.writeConfig(
                discovery.address(), discovery.known(), plan.settings(governor.number));
        governor.start();
    }

    /** Starts a governor that has ended, with the list as it last had it. */
    void restartGovernor(Governor governor, JsonObject known) {
        try {
            governor.writeConfig(
                    discoveryOf(governor).address(), known, plan.settings(governor.number));
            governor.start();
        } catch (IOException e) {
            judge.governorEnded(governor);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void startProxies() {
        for (int i = 0; i < plan.proxies; i++) {
            // most carry little traffic, some far more
            double share = (i % 4 == 0 ? 2.5 : 0.5) / plan.proxies;
            String zone = plan.zones[i % plan.zones.length];
            Proxy proxy = new Proxy(this, i, zone, share * plan.requestsPerSecond);
            proxies.add(proxy);
            for (int c = 0; c < plan.classes.length; c++) {
                Sums usage = new Sums();
                usage.proxy = proxy;
                usage.requestClass = c;
                sums.put("usage " + i + " " + c, usage);
            }
        }
        proxies.forEach(proxy -> Discovery.daemon(proxy::run, "proxy-" + proxy.number));
        Discovery.daemon(this::traffic, "traffic");
        timers.scheduleAtFixedRate(this::report, 1000, 1000, TimeUnit.MILLISECONDS);
    }

    Governor governorFor(Proxy proxy) {
        int usual = proxy.number % governors.size();
        for (int i = 0; i < governors.size(); i++) {
            int next = (usual + i) % governors.size();
            if (isReachable.get(next) && governors.get(next).isAlive()) {
                return governors.get(next);
            }
        }
        return null;
    }

    double transit() {
        synchronized (random) {
            return Math.min(plan.transitMost, random.nextDouble(0.5, 1.5) * plan.transitMean);
        }
    }

    boolean losesAcknowledgement(Proxy proxy) {
        synchronized (random) {
            return random.nextDouble() < lostAcknowledgements;
        }
    }

    void at(double time, Runnable task) {
        long delay = Math.max(0, Math.round((time - Recorder.now()) * 1000));
        if (!isClosed) {
            timers.schedule(() -> guarded(task), delay, TimeUnit.MICROSECONDS);
        }
    }

    private void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            record.line("stand-in failed: %s", e);
        }
    }

    /** A proxy sends a request. */
    void request(Proxy proxy, int requestClass, String uid) {
        judge.sent(proxy, requestClass, uid);
        Replica replica = replicas.get(uid);
        boolean isGood = replica.request(plan.work, judge.isKnowing(proxy, uid));
        Governor governor = proxy.joinedTo;
        if (governor != null) {
            Sums counted =
                    sums.computeIfAbsent(
                            governor.number + " " + proxy.zone + " " + uid,
                            key -> newSums(governor, proxy.zone, uid));
            synchronized (counted) {
                counted.tries++;
                counted.bad += isGood ? 0 : 1;
            }
        }
    }

    private static Sums newSums(Governor governor, String zone, String uid) {
        Sums counted = new Sums();
        counted.governor = governor;
        counted.zone = zone;
        counted.uid = uid;
        return counted;
    }

    private void traffic() {
        double last = Recorder.now();
        try {
            while (!isClosed) {
                Thread.sleep(20);
                double now = Recorder.now();
                double span = now - last;
                last = now;
                for (Proxy proxy : proxies) {
                    for (int c = 0; c < plan.classes.length; c++) {
                        proxy.traffic(c, span, trafficFactor);
                    }
                }
                replicas.values().forEach(Replica::sample);
                judge.step();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reports once a second; each governor gets so many lines, the oldest first. */
    private void report() {
        try {
            governors.forEach(this::report);
        } catch (RuntimeException e) {
            record.line("stand-in failed: %s", e);
        }
    }

    private void report(Governor governor) {
        List<Sums> due = new ArrayList<>();
        for (Sums counted : sums.values()) {
            boolean isReported = counted.governor == governor && counted.tries > 0;
            boolean isUsage = counted.proxy != null && counted.proxy.joinedTo == governor;
            if (isReported || isUsage) {
                due.add(counted);
            }
        }
        due.sort(Comparator.comparingDouble(counted -> counted.since));
        for (Sums counted : due.subList(0, Math.min(plan.intake, due.size()))) {
            double now = Recorder.now();
            double window = Math.max(1, now - counted.since);
            counted.since = now;
            if (counted.proxy != null) {
                counted.proxy.reportUsage(counted.requestClass, window);
            } else {
                heard(counted, window);
            }
        }
    }

    private void heard(Sums counted, double window) {
        int tries;
        int bad;
        synchronized (counted) {
            tries = counted.tries;
            bad = counted.bad;
            counted.tries = 0;
            counted.bad = 0;
        }
        JsonObject message =
                new JsonObject()
                        .add("msg", "heard")
                        .add("az", counted.zone)
                        .add("host", counted.uid)
                        .add("n", tries)
                        .add("bad", bad)
                        .add("avg", bad == tries ? 0.0 : 120.0)
                        .add("window", window);
        if (bad < tries) {
            message.add("report", replicas.get(counted.uid).report());
        }
        at(Recorder.now() + 600, () -> send(counted.governor, counted.zone, message));
    }

    private void send(Governor governor, String zone, JsonObject message) {
        String key = governor.number + " " + zone;
        try {
            Socket socket = collectors.get(key);
            if (socket == null || socket.isClosed()) {
                socket = new Socket();
                socket.connect(governor.address, 300);
                collectors.put(key, socket);
                write(socket, new JsonObject().add("msg", "collector").add("az", zone));
            }
            write(socket, message);
        } catch (IOException e) {
            collectors.remove(key);
        }
    }

    private static void write(Socket socket, JsonObject message) throws IOException {
        socket.getOutputStream().write((message + "\n").getBytes(StandardCharsets.UTF_8));
    }

    void sleepUntil(double time) throws InterruptedException {
        double pause = time - Recorder.now();
        if (pause > 0) {
            Thread.sleep((long) pause);
        }
    }

    /** Ends all processes that this fleet started. */
    void killGovernors() {
        governors.forEach(Governor::kill);
    }

    /** Checks that the governors answer, and returns the exit code. */
    int finish(String... rules) {
        for (Governor governor : governors) {
            if (governor.isAlive() && !governor.answersPing() && !governor.answersPing()) {
                judge.governorEnded(governor);
            }
        }
        return judge.result(rules);
    }

    @Override
    public void close() throws Exception {
        isClosed = true;
        timers.shutdownNow();
        for (Governor governor : governors) {
            governor.close();
        }
        for (Discovery discovery : discoveries) {
            discovery.close();
        }
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
        record.close();
    }
}
