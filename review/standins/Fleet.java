package review;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment around one real governor process: stand-ins of discovery, replicas, proxies
 * with their clients, and collectors, on loopback addresses and the real clock. All state of the
 * stand-ins is guarded by this object's lock.
 */
public final class Fleet {
    /** The figures of the deployment. Times in ms. */
    public static final class Plan {
        public String[] zones = {"burnaby", "surrey", "richmond"};
        public String[] classes = {"read", "sign"};
        public String[] effects = {"pure", "side_effect"};
        public boolean[] homeOnly = {false, false};
        /** Governors of the deployment; one of them is started. */
        public int governors = 1;

        public int replicasPerZone = 4;
        /** Proxies of the deployment. */
        public int proxies = 9;

        /** Proxies that join the governor that is started. */
        public int joining = 9;

        /** By zone, whether its proxies join this governor; null: those of all zones do. */
        public boolean[] zonesWithProxies;

        public double[] ratePerProxy = {15, 8};
        public double share = 23;
        public boolean probes = false;
        public double coldFrom = 0.31;
        public double warmAfterMs = 9000;
        public double drainGraceMs = 4000;
        public double unservedMaxMs = 7800;
        public double transitMaxMs = 940;
        public double deliveryMs = 150;
        public double reportMs = 1000;
        public double reportDelayMs = 500;
        public double noticeMs = 1800;
        public int standing = 6;
        public long seed = 7;
    }

    /** Exit code of a case whose rule was broken; run.sh turns it into 1, any other into 2. */
    public static final int BROKEN = 11;

    /** A case that has not ended by then is ended, ms. */
    private static final long LONGEST_RUN_MS = 110_000;

    /** The slack of the time limits on sockets (protocol page, 'The rules on sockets'). */
    public static final double SLACK_MS = 300;

    /** Time limits start no earlier than this after the governor's first answer. */
    public static final double GRACE_AFTER_READY_MS = 1000;

    public final Plan plan;
    public final Path root;
    public final Path temp;
    public final long startNanos = System.nanoTime();
    public final Random random;
    public final Map<String, Replica> replicas = new LinkedHashMap<>();
    public final List<ProxyStandIn> proxies = new ArrayList<>();
    public final List<Collector> collectors = new ArrayList<>();
    public final Discovery discovery;
    public Governor governor;
    public volatile boolean ended;
    private final PrintWriter record;

    public Fleet(Plan plan, Path folder) throws IOException {
        this.plan = plan;
        this.root = Path.of("").toAbsolutePath();
        this.temp = Files.createTempDirectory("review");
        this.random = new Random(plan.seed);
        this.record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        for (int z = 0; z < plan.zones.length; z++) {
            for (int i = 0; i < plan.replicasPerZone; i++) {
                Replica replica = new Replica("s-" + plan.zones[z] + "-" + i, plan.zones[z]);
                replicas.put(replica.uid, replica);
            }
        }
        discovery = new Discovery();
        governor = new Governor();
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
        daemon(
                () -> {
                    try {
                        Thread.sleep(LONGEST_RUN_MS);
                    } catch (InterruptedException e) {
                        return;
                    }
                    log("verdict", "not ended in time");
                    System.exit(2);
                });
    }

    public double now() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    /** Writes a line to the record: the time of the run in ms, the party, and what it did. */
    public synchronized void log(String who, String what) {
        record.println(String.format(Locale.ROOT, "%9.1f %-10s %s", now(), who, what));
    }

    /** Waits until the given time of the run, ms. */
    public void until(double millis) throws InterruptedException {
        double left = millis - now();
        if (left > 0) {
            Thread.sleep((long) left);
        }
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    /** Ends the governor's process and the stand-ins. */
    public void end() {
        ended = true;
        governor.kill();
        for (ProxyStandIn proxy : proxies) {
            proxy.breakStream();
        }
        record.flush();
        try (var files = Files.walk(temp)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        } catch (IOException | java.io.UncheckedIOException e) {
            // the temporary folder stays
        }
    }

    // ---------------------------------------------------------------- replicas

    /** A replica. Requests are handed to it within this process; each try is counted. */
    public final class Replica {
        public final String uid;
        public final String zone;
        public boolean isUp = true;
        public double util = 0.45;
        public long bootMillis;
        public long served;
        ServerSocket server;

        Replica(String uid, String zone) throws IOException {
            this.uid = uid;
            this.zone = zone;
            listen(0);
        }

        private void listen(int port) throws IOException {
            ServerSocket opened = new ServerSocket();
            opened.setReuseAddress(true);
            opened.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 50);
            server = opened;
            daemon(() -> answerProbes(opened));
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        private void answerProbes(ServerSocket opened) {
            while (!opened.isClosed()) {
                try {
                    Socket socket = opened.accept();
                    daemon(() -> answer(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void answer(Socket socket) {
            try (socket) {
                BufferedReader in =
                        new BufferedReader(
                                new InputStreamReader(
                                        socket.getInputStream(), StandardCharsets.US_ASCII));
                while (true) {
                    String line = in.readLine();
                    if (line == null) {
                        return;
                    }
                    while (!line.isEmpty()) {
                        line = in.readLine();
                        if (line == null) {
                            return;
                        }
                    }
                    byte[] body =
                            String.format(
                                            Locale.ROOT,
                                            "TEXT busy_reqs=4, cpu_share=%.3f, svc_ms=110",
                                            util)
                                    .getBytes(StandardCharsets.US_ASCII);
                    OutputStream out = socket.getOutputStream();
                    out.write(
                            ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n")
                                    .getBytes(StandardCharsets.US_ASCII));
                    out.write(body);
                    out.flush();
                }
            } catch (IOException e) {
                // the governor has closed the connection
            }
        }

        /** The process dies: connections are refused. */
        public void die() throws IOException {
            synchronized (Fleet.this) {
                isUp = false;
            }
            server.close();
            log(uid, "died");
        }

        /** The process starts again at its address, cold. */
        public void restart() throws IOException {
            int port = server.getLocalPort();
            listen(port);
            synchronized (Fleet.this) {
                isUp = true;
                bootMillis = System.currentTimeMillis();
            }
            log(uid, "started again");
        }
    }

    // ---------------------------------------------------------------- discovery

    /** Discovery's agent on the governor's machine: the whole list and the watch. */
    public final class Discovery {
        private final class Entry {
            final Replica replica;
            String state = "ready";
            long bootMillis;
            long changedIn = 40;

            Entry(Replica replica) {
                this.replica = replica;
            }

            String json() {
                return "{\"uid\":\""
                        + replica.uid
                        + "\",\"endpoint\":\""
                        + replica.address()
                        + "\",\"az\":\""
                        + replica.zone
                        + "\",\"model\":\"m1\",\"pod_group\":0,\"state\":\""
                        + state
                        + "\",\"capacity_hint\":1.0,\"boot_ms\":"
                        + bootMillis
                        + "}";
            }
        }

        private final ServerSocket server;
        private final Map<String, Entry> entries = new LinkedHashMap<>();
        private long revision = 41;
        private Socket watch;
        private long sentRevision = -1;


        /** The state and the start that discovery has written to the governor, by replica. */
        private final Map<String, String> toldState = new HashMap<>();

        private final Map<String, Long> toldBoot = new HashMap<>();

        /** When a removal was written to the governor's present process, ms of the run. */
        public final Map<String, Double> removalToldAt = new HashMap<>();

        Discovery() throws IOException {
            for (Replica replica : replicas.values()) {
                entries.put(replica.uid, new Entry(replica));
            }
            server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
            daemon(this::serve);
            daemon(this::keepAlive);
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        /** Lists replicas with a state, as one change of the list. */
        public void change(String state, List<Replica> changed) {
            synchronized (Fleet.this) {
                revision++;
                for (Replica replica : changed) {
                    Entry entry = entries.get(replica.uid);
                    entry.state = state;
                    entry.bootMillis = replica.bootMillis;
                    entry.changedIn = revision;
                }
                log("discovery", "rev " + revision + " " + state + " " + names(changed));
                publish();
            }
        }

        private String names(List<Replica> list) {
            StringBuilder text = new StringBuilder();
            for (Replica replica : list) {
                text.append(replica.uid).append(' ');
            }
            return text.toString();
        }

        /** Returns the whole list, as a governor that heard all of it would have it. */
        String wholeList() {
            synchronized (Fleet.this) {
                StringBuilder text = new StringBuilder();
                for (Entry entry : entries.values()) {
                    if (!entry.state.equals("gone")) {
                        text.append(text.length() == 0 ? "" : ",").append(entry.json());
                    }
                }
                return "{\"rev\":" + revision + ",\"all\":true,\"targets\":[" + text + "]}";
            }
        }

        /** The governor's new process has been given the present list in its configuration. */
        void toldByConfiguration() {
            toldState.clear();
            toldBoot.clear();
            removalToldAt.clear();
            for (Entry entry : entries.values()) {
                if (!entry.state.equals("gone")) {
                    toldState.put(entry.replica.uid, entry.state);
                    toldBoot.put(entry.replica.uid, entry.bootMillis);
                }
                if (!entry.state.equals("ready")) {
                    // draining, or absent from a complete list, which means gone
                    removalToldAt.put(entry.replica.uid, now());
                }
            }
        }

        /** Returns whether the governor has a ready and warm replica that is open to the class. */
        boolean toldWarm(String zoneOrNull) {
            for (Replica replica : replicas.values()) {
                Long boot = toldBoot.getOrDefault(replica.uid, 0L);
                boolean isOpen = zoneOrNull == null || replica.zone.equals(zoneOrNull);
                if (isOpen
                        && "ready".equals(toldState.get(replica.uid))
                        && (boot == 0
                                || System.currentTimeMillis() - boot >= plan.warmAfterMs)) {
                    return true;
                }
            }
            return false;
        }

        private void serve() {
            while (!ended) {
                try {
                    Socket socket = server.accept();
                    daemon(() -> answer(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void answer(Socket socket) {
            try {
                BufferedReader in =
                        new BufferedReader(
                                new InputStreamReader(
                                        socket.getInputStream(), StandardCharsets.US_ASCII));
                String request = in.readLine();
                for (String line = in.readLine(); line != null && !line.isEmpty(); ) {
                    line = in.readLine();
                }
                if (request == null) {
                    socket.close();
                    return;
                }
                synchronized (Fleet.this) {
                    log("discovery", "asked: " + request);
                    if (!request.contains("stream=1")) {
                        byte[] body = wholeList().getBytes(StandardCharsets.US_ASCII);
                        write(
                                socket,
                                "HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n");
                        socket.getOutputStream().write(body);
                        return;
                    }
                    Matcher index = Pattern.compile("index=(\\d+)").matcher(request);
                    write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    watch = socket;
                    sentRevision = index.find() ? Long.parseLong(index.group(1)) : -1;
                    if (!publish()) {
                        chunk("\n");
                    }
                }
                in.readLine();
                socket.close();
            } catch (IOException e) {
                // the governor has closed the watch
            }
        }

        private void write(Socket socket, String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().flush();
        }

        private void chunk(String text) throws IOException {
            write(watch, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }

        /** Writes what changed since the last line of the watch. Returns whether anything did. */
        private boolean publish() {
            if (watch == null || sentRevision >= revision) {
                return false;
            }
            StringBuilder text = new StringBuilder();
            boolean isWhole = sentRevision < 0;
            for (Entry entry : entries.values()) {
                if (isWhole ? !entry.state.equals("gone") : entry.changedIn > sentRevision) {
                    text.append(text.length() == 0 ? "" : ",").append(entry.json());
                }
            }
            try {
                chunk(
                        isWhole
                                ? wholeList() + "\n"
                                : "{\"rev\":"
                                        + revision
                                        + ",\"all\":false,\"targets\":["
                                        + text
                                        + "]}\n");
            } catch (IOException e) {
                watch = null;
                return false;
            }
            for (Entry entry : entries.values()) {
                String before = toldState.put(entry.replica.uid, entry.state);
                toldBoot.put(entry.replica.uid, entry.bootMillis);
                if (entry.state.equals("ready")) {
                    removalToldAt.remove(entry.replica.uid);
                } else if (!entry.state.equals(before)) {
                    removalToldAt.putIfAbsent(entry.replica.uid, now());
                }
            }
            sentRevision = revision;
            log("discovery", "wrote rev " + revision + " to the governor");
            return true;
        }

        private void keepAlive() {
            while (!ended) {
                try {
                    Thread.sleep(2000);
                    synchronized (Fleet.this) {
                        if (watch != null) {
                            chunk("\n");
                        }
                    }
                } catch (IOException e) {
                    watch = null;
                } catch (InterruptedException e) {
                    return;
                }
            }
        }
    }

    // ---------------------------------------------------------------- governor

    /** The governor's process, started by the run line of the deploy file. */
    public final class Governor {
        final int port;
        Process process;
        public double readyAt = Double.POSITIVE_INFINITY;
        private int starts;

        Governor() throws IOException {
            port = freePort();
        }

        /** Returns a free port below the ports that outgoing connections are given. */
        private int freePort() throws IOException {
            for (int tries = 0; tries < 200; tries++) {
                int candidate = 20_000 + new Random().nextInt(12_000);
                try (ServerSocket free =
                        new ServerSocket(candidate, 1, InetAddress.getLoopbackAddress())) {
                    return candidate;
                } catch (IOException e) {
                    // taken
                }
            }
            throw new IOException("no free port");
        }

        /** Starts the process and waits until it answers ping. */
        public void start() throws IOException, InterruptedException {
            starts++;
            String run = "";
            for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
                Matcher matcher = Pattern.compile("^run = \"(.*?)\"").matcher(line);
                run = matcher.find() ? matcher.group(1) : run;
            }
            Path config = temp.resolve("config.json");
            synchronized (Fleet.this) {
                Files.writeString(config, configuration());
                discovery.toldByConfiguration();
            }
            Path scratch = Files.createTempDirectory(temp, "tmp");
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run);
            builder.directory(root.toFile());
            builder.environment().put("NODE_NAME", "n0");
            builder.environment().put("NODE_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("NODE_DISCOVERY", discovery.address());
            builder.environment().put("NODE_CONFIG", config.toString());
            builder.environment().put("TMPDIR", scratch.toString());
            builder.redirectErrorStream(true);
            File log = temp.resolve("governor.log").toFile();
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
            process = builder.start();
            log("governor", "start " + starts);
            double deadline = now() + 30_000;
            while (!answersPing(1000)) {
                if (now() > deadline || !process.isAlive()) {
                    throw new IOException("the governor did not start: " + lastLog());
                }
                Thread.sleep(50);
            }
            readyAt = now();
            log("governor", "ready");
        }

        private String configuration() {
            return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:"
                    + port
                    + "\",\"discovery\":\""
                    + discovery.address()
                    + "\",\"seed\":\""
                    + Long.toHexString(plan.seed * 1000 + starts)
                    + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                    + "\"known\":"
                    + discovery.wholeList()
                    + ",\"settings\":"
                    + settings()
                    + "}";
        }

        /** Returns whether a new connection gets pong for ping within the time. */
        public boolean answersPing(int timeoutMillis) {
            try (Socket socket = new Socket()) {
                socket.connect(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                        timeoutMillis);
                socket.setSoTimeout(timeoutMillis);
                socket.getOutputStream()
                        .write("{\"msg\":\"ping\"}\n".getBytes(StandardCharsets.US_ASCII));
                String line =
                        new BufferedReader(new InputStreamReader(socket.getInputStream()))
                                .readLine();
                return line != null && line.contains("pong");
            } catch (IOException e) {
                return false;
            }
        }

        public boolean isAlive() {
            return process != null && process.isAlive();
        }

        /** A planned restart's end: SIGTERM, and SIGKILL 0.7 s later if it has not ended. */
        public void terminate() throws InterruptedException {
            log("governor", "SIGTERM");
            process.destroy();
            if (!process.waitFor(700, TimeUnit.MILLISECONDS)) {
                log("governor", "SIGKILL");
                process.destroyForcibly().waitFor();
            }
            log("governor", "ended");
        }

        public void kill() {
            if (process != null && process.isAlive()) {
                process.destroyForcibly();
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }

        /** Returns the last lines of the governor's log. */
        public String lastLog() {
            try {
                List<String> lines = Files.readAllLines(temp.resolve("governor.log"));
                return String.join(
                        "\n", lines.subList(Math.max(0, lines.size() - 30), lines.size()));
            } catch (IOException e) {
                return "no log";
            }
        }

        /**
         * Asks ping once a second until the given time of the run. Returns true, at once, if no new
         * connection has been answered for longer than the limit.
         */
        public boolean isSilentFor(double limitMillis, double endMillis)
                throws InterruptedException {
            double lastAnswer = now();
            while (now() < endMillis) {
                boolean answered = answersPing(2000);
                log("operator", answered ? "ping, pong" : "ping, no answer within 2 s");
                lastAnswer = answered ? now() : lastAnswer;
                if (now() - lastAnswer > limitMillis) {
                    log(
                            "operator",
                            String.format(
                                    Locale.ROOT,
                                    "no answer for %.1f s; the process is %s",
                                    (now() - lastAnswer) / 1000,
                                    isAlive() ? "alive" : "gone"));
                    return true;
                }
                Thread.sleep(1000);
            }
            return false;
        }

        public void logToRecord() {
            for (String line : lastLog().split("\n")) {
                log("its log", line);
            }
        }
    }

    String settings() {
        StringBuilder classes = new StringBuilder();
        StringBuilder homeOnly = new StringBuilder();
        StringBuilder writers = new StringBuilder();
        for (int i = 0; i < plan.classes.length; i++) {
            String comma = i == 0 ? "" : ",";
            classes.append(comma)
                    .append("{\"deadlineUs\":2000000,\"effect\":\"")
                    .append(plan.effects[i])
                    .append("\",\"keyScope\":\"all\",\"lateWorth\":0.2,\"name\":\"")
                    .append(plan.classes[i])
                    .append("\",\"promiseUs\":750000,\"windowUs\":5000000,\"worth\":")
                    .append(i + 1.0)
                    .append('}');
            homeOnly.append(comma).append(plan.homeOnly[i]);
            writers.append(comma).append(plan.effects[i].equals("side_effect"));
        }
        StringBuilder zones = new StringBuilder();
        for (String zone : plan.zones) {
            zones.append(zones.length() == 0 ? "\"" : ",\"").append(zone).append('"');
        }
        return "{\"balancers\":"
                + plan.governors
                + ",\"ceilings\":{\"connIdleUs\":15000000,\"connectTimeoutUs\":250000,"
                + "\"cpuUsPerS\":607146,\"maxStreams\":32,\"peerMessages\":false,\"probes\":"
                + plan.probes
                + "},\"charges\":{\"connection\":0.02,\"crossZone\":0.12,\"handshake\":0.04,"
                + "\"lateFail\":0.03,\"membershipMode\":0.0,\"moves\":0.0,\"peer\":0.01,"
                + "\"probe\":0.02,\"waste\":0.03},\"classes\":["
                + classes
                + "],\"contract\":{\"askEveryUs\":10000000,\"coldFrom\":"
                + plan.coldFrom
                + ",\"drainGraceUs\":"
                + micros(plan.drainGraceMs)
                + ",\"fallUs\":3000000,\"tipMultiple\":3.0,\"warmAfterUs\":"
                + micros(plan.warmAfterMs)
                + "},\"countedBy\":\"request\",\"family\":\"control\",\"familyInfo\":{"
                + "\"admit\":\"share\",\"byZone\":true,\"egressPerS\":3300.0,\"ejects\":0,"
                + "\"firstWait\":0.8,\"head\":6.0,\"homeOnly\":["
                + homeOnly
                + "],\"inFlightMaxUs\":2020000,\"intakePerS\":150.0,\"keepsWritingUs\":2500000,"
                + "\"minConnCap\":456.0,\"orderPrice\":0.02,\"parkUs\":300000,\"proxies\":"
                + plan.proxies
                + ",\"pushDelayUs\":"
                + micros(plan.deliveryMs)
                + ",\"queueCap\":5000.0,\"reassignPrice\":0.01,\"reloadSpanUs\":10000000,"
                + "\"reportEveryUs\":"
                + micros(plan.reportMs)
                + ",\"retryDefault\":0,\"selectsBy\":\"weighted\",\"singleWriter\":false,"
                + "\"slices\":0,\"standing\":"
                + plan.standing
                + ",\"transitMaxUs\":"
                + micros(plan.transitMaxMs)
                + ",\"unservedMaxUs\":"
                + micros(plan.unservedMaxMs)
                + ",\"updateCap\":0,\"warmKeys\":false,\"writers\":["
                + writers
                + "]},\"goal\":{\"whole\":0.7,\"worstClass\":0.1,\"worstTenant\":0.0,"
                + "\"worstWindow\":0.2},\"kinds\":[\"m1\"],\"me\":0,\"membershipMode\":\"pushed\","
                + "\"report\":{\"how\":\"answers\",\"names\":[\"cpu_share\",\"busy_reqs\",\"svc_ms\"]},"
                + "\"tickUs\":5000,\"weights\":\"none\",\"zone\":0,\"zones\":["
                + zones
                + "]}";
    }

    private static long micros(double millis) {
        return Math.round(millis * 1000);
    }

    // ---------------------------------------------------------------- proxies

    /** A proxy with the clients that use it. It does what its tables say. */
    public final class ProxyStandIn {
        public final int number;
        public final String zone;
        public boolean isJoined;
        public double joinedAt;
        public boolean isStanding = true;
        /** Whether the proxy reaches no governor; it goes on forwarding. */
        public volatile boolean cut;

        public final List<TreeMap<String, Double>> tables = new ArrayList<>();
        public final double[] admit;
        public final int[] policy;
        public final Set<String> ejected = new HashSet<>();

        /** Since when a class has had no line to pick while a warm replica was listed; -1: not. */
        public final double[] bareSince;

        /** The longest such time, beyond which the first rule is broken. */
        public final double[] longestBare;

        /** Requests of clients by class: asked, answered, refused for want of a line or level. */
        public final long[] asked;

        public final long[] answered;
        public final long[] refusedNoLine;
        public final long[] refusedLevel;
        final int[] usageCount;
        final int[] usageBad;
        Socket socket;
        private final Random choice;
        private int spoiltClass;
        private String spoiltWindow;

        public ProxyStandIn(int number, String zone) {
            this.number = number;
            this.zone = zone;
            int n = plan.classes.length;
            admit = new double[n];
            policy = new int[n];
            bareSince = new double[n];
            longestBare = new double[n];
            asked = new long[n];
            answered = new long[n];
            refusedNoLine = new long[n];
            refusedLevel = new long[n];
            usageCount = new int[n];
            usageBad = new int[n];
            choice = new Random(plan.seed * 31 + number);
            for (int c = 0; c < n; c++) {
                tables.add(new TreeMap<>());
            }
            startEmpty();
        }

        /** A start of the process: a standing table drawn from the list, and nothing else. */
        void startEmpty() {
            synchronized (Fleet.this) {
                isStanding = true;
                ejected.clear();
                List<Replica> own = new ArrayList<>();
                List<Replica> all = new ArrayList<>();
                for (Replica replica : replicas.values()) {
                    if (replica.isUp) {
                        all.add(replica);
                        if (replica.zone.equals(zone)) {
                            own.add(replica);
                        }
                    }
                }
                for (int c = 0; c < tables.size(); c++) {
                    List<Replica> from =
                            new ArrayList<>(own.size() >= 3 || plan.homeOnly[c] ? own : all);
                    java.util.Collections.shuffle(from, choice);
                    tables.get(c).clear();
                    for (Replica replica : from.subList(0, Math.min(plan.standing, from.size()))) {
                        tables.get(c).put(replica.uid, 1.0);
                    }
                    admit[c] = 1;
                    policy[c] = 0;
                    bareSince[c] = -1;
                }
            }
        }

        public void run() {
            daemon(this::keepJoined);
            daemon(this::forward);
            daemon(this::reportUsage);
        }

        private void keepJoined() {
            while (!ended) {
                try {
                    if (cut) {
                        Thread.sleep(50);
                        continue;
                    }
                    Socket dialled = new Socket();
                    dialled.connect(
                            new InetSocketAddress(
                                    InetAddress.getLoopbackAddress(), governor.port),
                            1000);
                    InputStream in = dialled.getInputStream();
                    synchronized (Fleet.this) {
                        socket = dialled;
                        String join =
                                "{\"msg\":\"joined\",\"sidecar\":"
                                        + number
                                        + ",\"az\":\""
                                        + zone
                                        + "\",\"share\":"
                                        + plan.share
                                        + ",\"standing\":"
                                        + isStanding
                                        + "}";
                        send(join);
                        isJoined = true;
                        joinedAt = now();
                        log("proxy " + number, "sent " + join);
                    }
                    readOrders(dialled, in);
                } catch (IOException | InterruptedException e) {
                    // redial below
                }
                breakStream();
                try {
                    Thread.sleep(500 + choice.nextInt(700));
                } catch (InterruptedException e) {
                    return;
                }
            }
        }

        public void breakStream() {
            synchronized (Fleet.this) {
                if (isJoined && !ended) {
                    log("proxy " + number, "its stream ended");
                }
                isJoined = false;
                java.util.Arrays.fill(bareSince, -1);
                try {
                    if (socket != null) {
                        socket.close();
                    }
                } catch (IOException e) {
                    // closed in any case
                }
            }
        }

        private void send(String line) throws IOException {
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().flush();
        }

        private record Arrived(List<JsonObject> parts, double at) {}

        /** Reads messages; each takes effect after the way of a message, in order. */
        private void readOrders(Socket from, InputStream in) throws IOException {
            LinkedBlockingQueue<Arrived> way = new LinkedBlockingQueue<>();
            daemon(() -> applyArrived(from, way));
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
            List<JsonObject> parts = new ArrayList<>();
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                JsonObject message = Json.parse(line).asObject();
                if (!message.getString("msg", "").equals("update")) {
                    continue;
                }
                log("proxy " + number, "got " + line);
                parts.add(message);
                if (!message.getBoolean("continued", false)) {
                    way.add(new Arrived(parts, now()));
                    parts = new ArrayList<>();
                }
            }
        }

        private void applyArrived(Socket from, LinkedBlockingQueue<Arrived> way) {
            try {
                while (!ended && !from.isClosed()) {
                    Arrived next = way.poll(100, TimeUnit.MILLISECONDS);
                    if (next == null) {
                        continue;
                    }
                    until(next.at + plan.deliveryMs);
                    synchronized (Fleet.this) {
                        if (socket != from || from.isClosed()) {
                            return;
                        }
                        for (JsonObject part : next.parts) {
                            apply(part);
                        }
                        JsonValue nonce =
                                next.parts.get(next.parts.size() - 1).get("nonce_out");
                        if (nonce != null) {
                            send(
                                    "{\"msg\":\"applied\",\"sidecar\":"
                                            + number
                                            + ",\"version\":"
                                            + nonce.asInt()
                                            + ",\"lag_ms\":"
                                            + plan.deliveryMs
                                            + "}");
                        }
                    }
                }
            } catch (IOException | InterruptedException e) {
                // the stream has ended
            }
        }

        private void apply(JsonObject part) {
            isStanding = false;
            List<Integer> named = new ArrayList<>();
            JsonValue routes = part.get("routes");
            for (int c = 0; c < plan.classes.length; c++) {
                if (routes == null || contains(routes.asArray(), plan.classes[c])) {
                    named.add(c);
                }
            }
            for (int c : named) {
                if (part.getBoolean("full", false)) {
                    tables.get(c).clear();
                    admit[c] = 1;
                    policy[c] = 0;
                }
                if (part.get("endpoints") != null) {
                    for (JsonValue line : part.get("endpoints").asArray()) {
                        String uid = line.asArray().get(0).asString();
                        double weight = line.asArray().get(1).asDouble();
                        if (weight > 0) {
                            tables.get(c).put(uid, weight);
                        } else {
                            tables.get(c).remove(uid);
                        }
                    }
                }
                if (part.get("admit") != null) {
                    admit[c] = part.get("admit").asDouble();
                    policy[c] = part.getInt("policy", 0);
                }
            }
            for (JsonValue uid : list(part, "eject")) {
                ejected.add(uid.asString());
            }
            for (JsonValue uid : list(part, "restore")) {
                ejected.remove(uid.asString());
            }
        }

        private JsonArray list(JsonObject part, String field) {
            return part.get(field) == null ? new JsonArray() : part.get(field).asArray();
        }

        private boolean contains(JsonArray array, String text) {
            for (JsonValue each : array) {
                if (each.asString().equals(text)) {
                    return true;
                }
            }
            return false;
        }

        /** Returns a line by weight that is not shut out; null if there is none. */
        private String pick(int c, String except) {
            double sum = 0;
            for (Map.Entry<String, Double> line : tables.get(c).entrySet()) {
                sum += usable(line.getKey(), except) ? line.getValue() : 0;
            }
            double at = choice.nextDouble() * sum;
            String last = null;
            for (Map.Entry<String, Double> line : tables.get(c).entrySet()) {
                if (usable(line.getKey(), except)) {
                    last = line.getKey();
                    at -= line.getValue();
                    if (at <= 0) {
                        return last;
                    }
                }
            }
            return last;
        }

        private boolean usable(String uid, String except) {
            return !ejected.contains(uid) && !uid.equals(except);
        }

        /** The clients' requests, at a steady rate. */
        private void forward() {
            double[] due = new double[plan.classes.length];
            java.util.Arrays.fill(due, (number + 1.0) / (plan.joining + 1));
            while (!ended) {
                try {
                    Thread.sleep(10);
                } catch (InterruptedException e) {
                    return;
                }
                synchronized (Fleet.this) {
                    for (int c = 0; c < plan.classes.length; c++) {
                        due[c] += plan.ratePerProxy[c] / 100;
                        while (due[c] >= 1) {
                            due[c]--;
                            request(c);
                        }
                    }
                }
            }
        }

        private void request(int c) {
            asked[c]++;
            usageCount[c]++;
            if (admit[c] <= 0 || choice.nextDouble() >= admit[c]) {
                refusedLevel[c]++;
                return;
            }
            String uid = pick(c, "");
            if (uid == null) {
                refusedNoLine[c]++;
                usageBad[c]++;
                return;
            }
            boolean done = tryAt(uid);
            if (!done && policy[c] >= 1) { // proof that it never ran: the connection was refused
                String other = pick(c, uid);
                done = other != null && tryAt(other);
            }
            if (done) {
                answered[c]++;
            } else {
                usageBad[c]++;
            }
        }

        private boolean tryAt(String uid) {
            Replica replica = replicas.get(uid);
            Double told = discovery.removalToldAt.get(uid);
            if (isJoined && told != null) {
                double since =
                        Math.max(Math.max(told, joinedAt), governor.readyAt + GRACE_AFTER_READY_MS);
                if (now() > since + plan.drainGraceMs + SLACK_MS) {
                    drainBreaks++;
                    if (drainBreaks <= 20) {
                        log(
                                "proxy " + number,
                                String.format(
                                        Locale.ROOT,
                                        "DRAIN a request went to %s %.1f s after the governor was"
                                                + " told and the proxy had joined",
                                        uid,
                                        (now() - since) / 1000));
                    }
                }
            }
            boolean isGood = replica.isUp;
            for (Collector collector : collectors) {
                if (collector.zone.equals(zone)) {
                    collector.count(uid, isGood);
                }
            }
            if (isGood) {
                replica.served++;
            }
            return isGood;
        }

        private void reportUsage() {
            while (!ended) {
                try {
                    Thread.sleep((long) plan.reportMs);
                    synchronized (Fleet.this) {
                        if (!isJoined) {
                            continue;
                        }
                        for (int c = 0; c < plan.classes.length; c++) {
                            boolean isSpoilt = spoiltWindow != null && c == spoiltClass;
                            String line =
                                    usage(
                                            c,
                                            isSpoilt
                                                    ? spoiltWindow
                                                    : String.valueOf(plan.reportMs));
                            if (isSpoilt) {
                                log("proxy " + number, "sent spoilt " + line);
                                spoiltWindow = null;
                            }
                            send(line);
                            usageCount[c] = 0;
                            usageBad[c] = 0;
                        }
                    }
                } catch (IOException e) {
                    breakStream();
                } catch (InterruptedException e) {
                    return;
                }
            }
        }

        private String usage(int c, String window) {
            return "{\"msg\":\"usage\",\"sidecar\":"
                    + number
                    + ",\"kind\":\""
                    + plan.classes[c]
                    + "\",\"n\":"
                    + usageCount[c]
                    + ",\"bad\":"
                    + Math.min(usageBad[c], usageCount[c])
                    + ",\"window\":"
                    + window
                    + "}";
        }

        /** The next usage report of a class arrives with another window. */
        public void spoilUsage(int c, String window) {
            synchronized (Fleet.this) {
                spoiltClass = c;
                spoiltWindow = window;
            }
        }

        /** Checks the first rule at this moment. */
        void checkBare() {
            for (int c = 0; c < plan.classes.length; c++) {
                boolean hasLine = pick(c, "") != null;
                boolean isOwed =
                        isJoined
                                && now() > governor.readyAt + GRACE_AFTER_READY_MS
                                && discovery.toldWarm(plan.homeOnly[c] ? zone : null);
                if (hasLine || !isOwed) {
                    bareSince[c] = -1;
                } else if (bareSince[c] < 0) {
                    bareSince[c] = now();
                }
                double bare = bareSince[c] < 0 ? 0 : now() - bareSince[c];
                if (bare > plan.unservedMaxMs + SLACK_MS
                        && longestBare[c] <= plan.unservedMaxMs + SLACK_MS) {
                    log(
                            "proxy " + number,
                            "BARE for class "
                                    + plan.classes[c]
                                    + ": table "
                                    + tables.get(c)
                                    + ", shut out "
                                    + ejected);
                }
                longestBare[c] = Math.max(longestBare[c], bare);
            }
        }
    }

    public long drainBreaks;

    // ---------------------------------------------------------------- collectors

    /** The collector of a zone. */
    public final class Collector {
        final String zone;
        private final Map<String, int[]> counts = new TreeMap<>();

        public Collector(String zone) {
            this.zone = zone;
        }

        void count(String uid, boolean good) {
            int[] count = counts.computeIfAbsent(uid, x -> new int[2]);
            count[0]++;
            count[1] += good ? 0 : 1;
        }

        public void run() {
            daemon(this::report);
        }

        private void report() {
            while (!ended) {
                try (Socket socket = new Socket()) {
                    socket.connect(
                            new InetSocketAddress(
                                    InetAddress.getLoopbackAddress(), governor.port),
                            1000);
                    write(socket, "{\"msg\":\"collector\",\"az\":\"" + zone + "\"}\n");
                    while (!ended) {
                        Thread.sleep((long) plan.reportMs);
                        String lines = lines();
                        Thread.sleep((long) (plan.reportDelayMs / 4));
                        write(socket, lines);
                    }
                } catch (IOException e) {
                    try {
                        Thread.sleep(500);
                    } catch (InterruptedException interrupted) {
                        return;
                    }
                } catch (InterruptedException e) {
                    return;
                }
            }
        }

        private void write(Socket socket, String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().flush();
        }

        private String lines() {
            StringBuilder text = new StringBuilder();
            synchronized (Fleet.this) {
                counts.forEach(
                        (uid, count) -> {
                            Replica replica = replicas.get(uid);
                            text.append("{\"msg\":\"heard\",\"az\":\"")
                                    .append(zone)
                                    .append("\",\"host\":\"")
                                    .append(uid)
                                    .append("\",\"n\":")
                                    .append(count[0])
                                    .append(",\"bad\":")
                                    .append(count[1])
                                    .append(",\"avg\":")
                                    .append(count[0] > count[1] ? "112.5" : "0.0")
                                    .append(",\"window\":")
                                    .append(plan.reportMs);
                            if (count[0] > count[1]) {
                                text.append(
                                        String.format(
                                                Locale.ROOT,
                                                ",\"report\":{\"cpu_share\":%.3f,\"busy_reqs\":4,"
                                                        + "\"svc_ms\":110.0}",
                                                replica.util));
                            }
                            text.append("}\n");
                        });
                counts.clear();
            }
            return text.toString();
        }
    }

    // ---------------------------------------------------------------- the run

    /** Starts the governor, the collectors and the proxies that join it. */
    public void start() throws IOException, InterruptedException {
        governor.start();
        for (String zone : plan.zones) {
            Collector collector = new Collector(zone);
            collectors.add(collector);
            collector.run();
        }
        int next = 0;
        for (int i = 0; i < plan.joining; i++) {
            while (plan.zonesWithProxies != null
                    && !plan.zonesWithProxies[next % plan.zones.length]) {
                next++;
            }
            proxies.add(new ProxyStandIn(i, plan.zones[next % plan.zones.length]));
            next++;
        }
        proxies.forEach(ProxyStandIn::run);
        daemon(
                () -> {
                    while (!ended) {
                        try {
                            Thread.sleep(50);
                        } catch (InterruptedException e) {
                            return;
                        }
                        synchronized (this) {
                            proxies.forEach(ProxyStandIn::checkBare);
                        }
                    }
                });
    }

    public List<Replica> inZone(String zone) {
        List<Replica> list = new ArrayList<>();
        for (Replica replica : replicas.values()) {
            if (replica.zone.equals(zone)) {
                list.add(replica);
            }
        }
        return list;
    }

    /** Sets the share of the replicas' cores that is busy, as their load reports show it. */
    public synchronized void setUtil(double util) {
        replicas.values().forEach(replica -> replica.util = util);
        log("replicas", "share of busy cores: " + util);
    }

    /** The proxies of a zone reach no governor and go on forwarding, or reach it again. */
    public void cutOff(String zone, boolean isCut) {
        for (ProxyStandIn proxy : proxies) {
            if (proxy.zone.equals(zone)) {
                proxy.cut = isCut;
                if (isCut) {
                    proxy.breakStream();
                }
            }
        }
        log("zone " + zone, isCut ? "its proxies reach no governor" : "its proxies reach it again");
    }

    /** Writes the state of all proxies to the record. */
    public synchronized void summary() {
        for (ProxyStandIn proxy : proxies) {
            for (int c = 0; c < plan.classes.length; c++) {
                log(
                        "proxy " + proxy.number,
                        String.format(
                                Locale.ROOT,
                                "zone %s class %s: asked %d answered %d refused: %d without a line,"
                                        + " %d by level; level %.6f; longest time without a line"
                                        + " while a warm replica was listed %.1f s; lines %s, shut out %s",
                                proxy.zone,
                                plan.classes[c],
                                proxy.asked[c],
                                proxy.answered[c],
                                proxy.refusedNoLine[c],
                                proxy.refusedLevel[c],
                                proxy.admit[c],
                                proxy.longestBare[c] / 1000,
                                proxy.tables.get(c).keySet(),
                                proxy.ejected));
            }
        }
        log("all", "sent later than the grace to a removed replica: " + drainBreaks);
    }

    /** Returns whether some proxy was left without a line for longer than the limit. */
    public synchronized boolean isBareRuleBroken() {
        for (ProxyStandIn proxy : proxies) {
            for (double bare : proxy.longestBare) {
                if (bare > plan.unservedMaxMs + SLACK_MS) {
                    return true;
                }
            }
        }
        return false;
    }
}
