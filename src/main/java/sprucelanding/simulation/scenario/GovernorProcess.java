package sprucelanding.simulation.scenario;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A governor as a process of its own: started, killed outright, stopped and let go on by signals.
 */
public final class GovernorProcess {
    final int number;
    final int zone;
    final int port;
    private final Path config;
    private final Path log;
    private final Path overlay;
    private Process process;

    GovernorProcess(
            int number, int zone, int port, Path folder, String governorConfig, Path overlay)
            throws IOException {
        this.overlay = overlay;
        this.number = number;
        this.zone = zone;
        this.port = port;
        this.config = folder.resolve("governor-" + number + ".cue");
        this.log = folder.resolve("governor-" + number + ".log");
        Files.writeString(config, governorConfig);
    }

    void start() {
        try {
            String java = ProcessHandle.current().info().command().orElse("java");
            List<String> command =
                    new ArrayList<>(
                            List.of(
                                    java,
                                    "-Xmx512m",
                                    "-XX:+UseSerialGC",
                                    "-XX:TieredStopAtLevel=4",
                                    "-cp",
                                    System.getProperty("java.class.path"),
                                    "sprucelanding.cli.Main",
                                    "govern",
                                    "--config",
                                    config.toString()));
            if (overlay != null) {
                command.addAll(List.of("--with", overlay.toString()));
            }
            process =
                    new ProcessBuilder(command)
                            .redirectErrorStream(true)
                            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                            .start();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException("no governor can be started", e);
        }
    }

    /** Waits until it listens; throws IOException with its log's end if it does not. */
    void awaitReady() throws IOException, InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (System.nanoTime() < deadline && process.isAlive()) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 200);
                return;
            } catch (IOException e) {
                Thread.sleep(20);
            }
        }
        String logged = Files.readString(log);
        throw new IOException(
                "governor "
                        + number
                        + " does not listen: "
                        + logged.substring(Math.max(0, logged.length() - 2000)));
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    void kill() {
        process.destroyForcibly();
    }

    void signal(String name) {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                    .redirectErrorStream(true)
                    .redirectOutput(new File("/dev/null"))
                    .start();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException("no signal can be sent", e);
        }
    }

    void stop() throws InterruptedException {
        if (process != null) {
            signal("CONT");
            process.destroy();
            if (!process.waitFor(3, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        }
    }

    /** ms of CPU so far; 0 if it is not known. */
    double cpuMillis() {
        return process == null
                ? 0
                : process.info()
                        .totalCpuDuration()
                        .map(duration -> duration.toNanos() / 1e6)
                        .orElse(0.0);
    }

    /** MiB that it held at the most; 0 if it is not known. */
    double memoryMiB() {
        try (var lines = Files.lines(Path.of("/proc/" + process.pid() + "/status"))) {
            return lines.filter(line -> line.startsWith("VmHWM"))
                    .findFirst()
                    .map(line -> Double.parseDouble(line.replaceAll("[^0-9]", "")) / 1024)
                    .orElse(0.0);
        } catch (IOException | RuntimeException e) {
            return 0;
        }
    }

    /** The lines of figures that it logged, oldest first. */
    List<Map<String, String>> figures(ObjectMapper json) {
        List<Map<String, String>> figures = new ArrayList<>();
        try (var lines = Files.lines(log)) {
            for (String line :
                    lines.filter(
                                    logLine ->
                                            logLine.contains("\"message\":\"figures\"")
                                                    || logLine.contains("\"message\":\"front\""))
                            .toList()) {
                Map<String, String> logged = new LinkedHashMap<>();
                json.readTree(line)
                        .path("kvpList")
                        .forEach(
                                pair ->
                                        pair.fields()
                                                .forEachRemaining(
                                                        e ->
                                                                logged.put(
                                                                        e.getKey(),
                                                                        e.getValue().asText())));
                figures.add(logged);
            }
        } catch (IOException e) {
            figures.add(Map.of("unreadable", String.valueOf(e.getMessage())));
        }
        return figures;
    }

    /** Lines of its log that hold a text. */
    long countLogged(String text) {
        try (var lines = Files.lines(log)) {
            return lines.filter(line -> line.contains(text)).count();
        } catch (IOException e) {
            return 0;
        }
    }
}
