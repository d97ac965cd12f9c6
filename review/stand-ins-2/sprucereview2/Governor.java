package sprucereview2;

import com.eclipsesource.json.JsonObject;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** One governor process, started by the run line of deploy/balancer.toml. */
final class Governor implements AutoCloseable {
    private static final int LOWEST_PORT = 20_000;
    private static final int HIGHEST_PORT = 32_000;

    final int number;
    final InetSocketAddress address;
    final Channel channel;
    volatile double firstAnswer = Double.POSITIVE_INFINITY;
    private final Recorder record;
    private final Path configFile;
    private volatile Process process;

    Governor(int number, Path folder, Recorder record, double linesPerSecond) throws IOException {
        this.number = number;
        this.record = record;
        configFile = folder.resolve("governor-" + number + ".json");
        address = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
        channel = new Channel("channel-" + number, linesPerSecond);
    }

    /** Returns a free port outside the usual range of the ports of outgoing connections. */
    private static int freePort() throws IOException {
        for (int attempt = 0; attempt < 100; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(LOWEST_PORT, HIGHEST_PORT);
            try (ServerSocket probe =
                    new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return probe.getLocalPort();
            } catch (BindException e) {
                continue; // in use
            }
        }
        throw new IOException("no free port");
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    void writeConfig(InetSocketAddress discovery, JsonObject known, JsonObject settings)
            throws IOException {
        JsonObject limits = new JsonObject().add("cores", 1).add("memory_mb", 192);
        JsonObject config =
                new JsonObject()
                        .add("name", "n" + number)
                        .add("listen", text(address))
                        .add("discovery", text(discovery))
                        .add("seed", Long.toHexString(System.nanoTime() & 0xffffffffL))
                        .add("limits", limits.add("sockets", 1024))
                        .add("known", known)
                        .add("settings", settings);
        Path next = configFile.resolveSibling(configFile.getFileName() + ".next");
        Files.writeString(next, config.toString());
        Files.move(next, configFile, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Starts the process and waits until it answers a ping. */
    void start() throws IOException, InterruptedException {
        String run = null;
        for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                run = line.substring(7, line.lastIndexOf("\"   #"));
            }
        }
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run);
        builder.environment().put("NODE_NAME", "n" + number);
        builder.environment().put("NODE_LISTEN", text(address));
        builder.environment().put("NODE_CONFIG", configFile.toString());
        builder.directory(new File(".")).redirectErrorStream(true);
        process = builder.start();
        record.line("governor %d started, pid %d", number, process.pid());
        Process current = process;
        Thread log = new Thread(() -> copyLog(current), "log-" + number);
        log.setDaemon(true);
        log.start();
        double limit = Recorder.now() + 20_000;
        while (!answersPing()) {
            if (!process.isAlive() || Recorder.now() > limit) {
                throw new IOException("governor " + number + " is not in service");
            }
            Thread.sleep(20);
        }
        firstAnswer = Recorder.now();
        record.line("governor %d answers pong", number);
    }

    private void copyLog(Process current) {
        try (BufferedReader log = current.inputReader(StandardCharsets.UTF_8)) {
            for (String line = log.readLine(); line != null; line = log.readLine()) {
                record.line("log %d %s", number, line);
            }
        } catch (IOException e) {
            record.line("log %d ended: %s", number, e.getMessage());
        }
    }

    boolean answersPing() {
        try (Socket socket = new Socket()) {
            socket.connect(address, 500);
            socket.setSoTimeout(1000);
            socket.getOutputStream().write("{\"msg\":\"ping\"}\n".getBytes(StandardCharsets.US_ASCII));
            String line =
                    new BufferedReader(new InputStreamReader(socket.getInputStream())).readLine();
            return line != null && line.contains("pong");
        } catch (IOException e) {
            return false;
        }
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Sends a signal to the process: KILL, TERM, STOP, CONT or HUP. */
    void signal(String name) {
        record.line("signal %s to governor %d", name, number);
        try {
            String pid = Long.toString(process.pid());
            new ProcessBuilder("kill", "-" + name, pid).start().waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void kill() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    @Override
    public void close() {
        channel.close();
        kill();
        try {
            if (process != null) {
                process.waitFor(5, TimeUnit.SECONDS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
