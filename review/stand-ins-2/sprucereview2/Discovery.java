package sprucereview2;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The agent of discovery on one governor's machine: the list, its changes by version, and watches.
 * It notes when each change was written to the governor, from which time it counts as told.
 */
final class Discovery implements AutoCloseable {
    private final Recorder record;
    private final ServerSocket server;
    private final Map<String, JsonObject> entries = new LinkedHashMap<>();
    private final List<Integer> changeVersions = new ArrayList<>();
    private final List<String> changedUids = new ArrayList<>();
    private final List<Socket> watches = new ArrayList<>();
    private int version = 40;
    private volatile boolean isSilent;

    /** By uid, since when the governor has been told that the replica is not ready; ms. */
    final Map<String, Double> toldLeft = new java.util.concurrent.ConcurrentHashMap<>();

    /** By uid, the entry that the governor has been told. */
    final Map<String, JsonObject> told = new java.util.concurrent.ConcurrentHashMap<>();

    /** By uid, when the governor was told of the last start; ms. */
    final Map<String, Double> toldStart = new java.util.concurrent.ConcurrentHashMap<>();

    Discovery(Recorder record) throws IOException {
        this.record = record;
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        daemon(this::accept, "discovery");
        daemon(this::keepAlive, "discovery-idle");
    }

    static void daemon(Runnable task, String name) {
        Thread thread = new Thread(null, task, name, 256 << 10);
        thread.setDaemon(true);
        thread.start();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    /** Sets whether the agent says nothing, as while discovery is down. */
    void setSilent(boolean silent) throws IOException {
        isSilent = silent;
        record.line("discovery %s", silent ? "is silent" : "speaks again");
        if (!silent) {
            synchronized (this) {
                for (Socket watch : List.copyOf(watches)) {
                    watch.close(); // the agent starts over; governors connect again
                }
                watches.clear();
            }
        }
    }

    /** Puts entries on the list and writes them to the watches as one change. */
    synchronized void publish(List<JsonObject> changed) {
        version++;
        JsonArray targets = new JsonArray();
        for (JsonObject entry : changed) {
            String uid = entry.getString("uid", "");
            entries.put(uid, entry);
            changedUids.add(uid);
            changeVersions.add(version);
            targets.add(entry);
        }
        send(watches, list(false, targets), changed);
    }

    /** Returns the whole list, in the form of the configuration's field known. */
    synchronized JsonObject known() {
        JsonArray targets = new JsonArray();
        entries.values().stream().filter(e -> !isGone(e)).forEach(targets::add);
        noteTold(entries.values());
        return list(true, targets);
    }

    private JsonObject list(boolean all, JsonArray targets) {
        return new JsonObject().add("rev", version).add("all", all).add("targets", targets);
    }

    static boolean isGone(JsonObject entry) {
        return entry.getString("state", "").equals("gone");
    }

    private void send(List<Socket> receivers, JsonObject list, List<JsonObject> changed) {
        if (isSilent) {
            return;
        }
        boolean isWritten = false;
        for (Socket watch : List.copyOf(receivers)) {
            isWritten |= write(watch, list + "\n");
        }
        if (isWritten) {
            noteTold(changed);
            for (JsonObject entry : changed) {
                record.line(
                        "discovery told %s %s",
                        entry.getString("uid", ""), entry.getString("state", ""));
            }
        }
    }

    private void noteTold(Iterable<JsonObject> changed) {
        for (JsonObject entry : changed) {
            String uid = entry.getString("uid", "");
            JsonObject previous = told.put(uid, entry);
            double boot = entry.getDouble("boot_ms", 0);
            if (boot > 0 && (previous == null || previous.getDouble("boot_ms", 0) != boot)) {
                toldStart.put(uid, Recorder.now());
            }
            if (entry.getString("state", "").equals("ready")) {
                toldLeft.remove(uid);
            } else {
                toldLeft.putIfAbsent(uid, Recorder.now());
            }
        }
    }

    private boolean write(Socket watch, String text) {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        String chunk = Integer.toHexString(body.length) + "\r\n" + text + "\r\n";
        try {
            watch.getOutputStream().write(chunk.getBytes(StandardCharsets.UTF_8));
            return true;
        } catch (IOException e) {
            watches.remove(watch);
            return false;
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket watch = server.accept();
                daemon(() -> serve(watch), "watch");
            }
        } catch (IOException e) {
            return; // closed
        }
    }

    private void serve(Socket watch) {
        try {
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(watch.getInputStream()));
            String request = reader.readLine();
            for (String line = reader.readLine(); line != null && !line.isEmpty(); ) {
                line = reader.readLine();
            }
            if (request == null || isSilent) {
                return; // down: nothing is said
            }
            record.line("watch: %s", request);
            synchronized (this) {
                watch.getOutputStream()
                        .write(
                                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                        .getBytes(StandardCharsets.US_ASCII));
                int index = request.indexOf("index=");
                int after =
                        index < 0
                                ? Integer.MAX_VALUE
                                : Integer.parseInt(request.substring(index + 6).split("[ &]")[0]);
                if (after > version) { // what changed after that version is not held here
                    send(List.of(watch), known(), List.copyOf(entries.values()));
                } else {
                    sendChangesAfter(after, watch);
                }
                watches.add(watch);
            }
        } catch (IOException e) {
            record.line("watch ended: %s", e.getMessage());
        }
    }

    private void sendChangesAfter(int after, Socket watch) {
        Map<String, JsonObject> changed = new LinkedHashMap<>();
        for (int i = 0; i < changedUids.size(); i++) {
            if (changeVersions.get(i) > after) {
                changed.put(changedUids.get(i), entries.get(changedUids.get(i)));
            }
        }
        JsonArray targets = new JsonArray();
        changed.values().forEach(targets::add);
        send(List.of(watch), list(false, targets), List.copyOf(changed.values()));
    }

    private void keepAlive() {
        try {
            while (!server.isClosed()) {
                Thread.sleep(2000);
                synchronized (this) {
                    for (Socket watch : isSilent ? List.<Socket>of() : List.copyOf(watches)) {
                        write(watch, "\n");
                    }
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
