package sprucereview2;

import com.eclipsesource.json.JsonObject;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Locale;

/**
 * A replica: it answers probes, and it counts the work that proxies send. Work is given in ms of
 * one core. After a start, its capacity grows from a part of the usual to the whole.
 */
final class Replica implements AutoCloseable {
    /** How long arrivals are kept, ms. */
    private static final double KEPT_SPAN = 5000;

    /**
     * The work of a request.
     *
     * @param isKnowing whether the proxy acted with its governor's knowledge of the last start
     */
    private record Arrival(double at, double work, boolean isKnowing) {}

    /** The work of a span, as a multiple of what could be done, and how much of it was knowing. */
    record Span(double multiple, double knowingShare) {}

    final String uid;
    final String zone;
    final double cores;
    private final double coldFrom;
    private final double warmAfter;
    private final ServerSocket server;
    private final ArrayDeque<Arrival> arrivals = new ArrayDeque<>();
    private volatile boolean isUp = true;
    private volatile double startedAt = Double.NEGATIVE_INFINITY;
    private volatile double load;
    volatile String state = "ready";
    private volatile long bootMillis;

    Replica(String uid, String zone, double cores, double coldFrom, double warmAfter)
            throws IOException {
        this.uid = uid;
        this.zone = zone;
        this.cores = cores;
        this.coldFrom = coldFrom;
        this.warmAfter = warmAfter;
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Discovery.daemon(this::accept, uid);
    }

    JsonObject entry() {
        return new JsonObject()
                .add("uid", uid)
                .add("endpoint", Governor.text((InetSocketAddress) server.getLocalSocketAddress()))
                .add("az", zone)
                .add("model", "medium")
                .add("pod_group", 0)
                .add("state", state)
                .add("capacity_hint", 1.0)
                .add("boot_ms", bootMillis);
    }

    JsonObject entry(String newState) {
        state = newState;
        return entry();
    }

    void stop() {
        isUp = false;
    }

    /** Starts the process again: cold, with a new start time. */
    void restart() {
        startedAt = Recorder.now();
        bootMillis = System.currentTimeMillis();
        synchronized (arrivals) {
            arrivals.clear();
        }
        isUp = true;
    }

    boolean isUp() {
        return isUp;
    }

    double startedAt() {
        return startedAt;
    }

    boolean isWarm() {
        return Recorder.now() - startedAt >= warmAfter;
    }

    /** Returns the work that the replica can do in one ms at a time. */
    double capacityAt(double time) {
        double age = (time - startedAt) / warmAfter;
        return cores * (age >= 1 ? 1 : coldFrom + (1 - coldFrom) * Math.max(0, age));
    }

    /** Takes one request. Returns whether it is answered well. */
    boolean request(double work, boolean isKnowing) {
        double now = Recorder.now();
        synchronized (arrivals) {
            arrivals.add(new Arrival(now, work, isKnowing));
            while (arrivals.peek().at < now - KEPT_SPAN) {
                arrivals.poll();
            }
        }
        return isUp && load < 1.3;
    }

    /** Returns the work of the last span, divided by what could be done in it. */
    Span over(double span) {
        double now = Recorder.now();
        double work = 0;
        double knowingWork = 0;
        synchronized (arrivals) {
            for (Arrival arrival : arrivals) {
                if (arrival.at > now - span) {
                    work += arrival.work;
                    knowingWork += arrival.isKnowing ? arrival.work : 0;
                }
            }
        }
        double capacity = 0;
        for (double t = now - span; t < now; t += span / 30) {
            capacity += capacityAt(t) * span / 30;
        }
        return new Span(work / capacity, work == 0 ? 0 : knowingWork / work);
    }

    /** Takes a new sample of the load, for reports and probes. */
    void sample() {
        load = over(1000).multiple;
    }

    JsonObject report() {
        return new JsonObject()
                .add("cpu_share", Math.min(1, load))
                .add("busy_reqs", Math.round(load * cores))
                .add("svc_ms", 100);
    }

    double load() {
        return load;
    }

    private void accept() {
        try {
            while (true) {
                Socket probe = server.accept();
                if (!isUp) {
                    probe.setSoLinger(true, 0);
                    probe.close();
                    continue;
                }
                answer(probe);
            }
        } catch (IOException e) {
            return; // closed
        }
    }

    private void answer(Socket probe) {
        try (probe) {
            probe.setSoTimeout(500);
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(probe.getInputStream()));
            for (String line = reader.readLine(); line != null && !line.isEmpty(); ) {
                line = reader.readLine();
            }
            String body =
                    String.format(
                            Locale.ROOT,
                            "TEXT cpu_share=%.3f, busy_reqs=%d, svc_ms=100",
                            Math.min(1, load),
                            Math.round(load * cores));
            String head = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n";
            probe.getOutputStream().write((head + body).getBytes(StandardCharsets.US_ASCII));
        } catch (IOException e) {
            return; // the governor has given up
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
