package sprucelanding.simulation.soak;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * One real governor process: {@code serve} with the JVM options of the deploy file, on the class
 * path of this process.
 */
final class ServeProcess {
    private static final List<String> JVM_OPTIONS =
            List.of(
                    "-XX:+UseSerialGC",
                    "-XX:-UsePerfData",
                    "-XX:TieredStopAtLevel=1",
                    "-Xss512k",
                    "-Xms24m",
                    "-Xmx24m",
                    "-Xmn8m",
                    "-XX:MaxDirectMemorySize=4m",
                    "-XX:ReservedCodeCacheSize=16m");

    private static final List<String> FAILURES =
            List.of(
                    "decision failed",
                    "step failed",
                    "update_failed",
                    "guard_refused_line",
                    "Exception",
                    "OutOfMemoryError");

    private final int number;
    private final Path config;
    private final Path log;
    private Process process;

    ServeProcess(int number, Path folder) {
        this.number = number;
        this.config = folder.resolve("governor-" + number + ".json");
        this.log = folder.resolve("governor-" + number + ".log");
    }

    /** Starts it with that configuration, JSON; throws UncheckedIOException. */
    void start(String json) {
        try {
            Files.writeString(config, json);
            List<String> command = new ArrayList<>();
            command.add(ProcessHandle.current().info().command().orElse("java"));
            command.addAll(JVM_OPTIONS);
            command.addAll(
                    List.of(
                            "-cp",
                            System.getProperty("java.class.path"),
                            "sprucelanding.cli.Main",
                            "serve"));
            ProcessBuilder builder =
                    new ProcessBuilder(command)
                            .redirectErrorStream(true)
                            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            builder.environment().put("NODE_CONFIG", config.toString());
            process = builder.start();
        } catch (IOException e) {
            throw new UncheckedIOException("governor " + number + " cannot be started", e);
        }
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    void kill() {
        process.destroyForcibly();
    }

    /** Sends a signal by its name without the SIG. */
    void signal(String name) {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                    .redirectErrorStream(true)
                    .redirectOutput(new File("/dev/null"))
                    .start();
        } catch (IOException e) {
            throw new UncheckedIOException("no signal can be sent", e);
        }
    }

    /** Ends it for good and waits until it is gone. */
    void stop() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly();
            process.waitFor(5, TimeUnit.SECONDS);
        }
    }

    /**
     * The highest count in its log of removals that were not acknowledged by their deadline; 0 if
     * there were none.
     */
    long overdueLogged() {
        return figure("event=drain_status", "overdue=");
    }

    /** The first line of its log that tells of a fault of the program itself, or null. */
    String failureLogged() {
        try (var lines = Files.lines(log, StandardCharsets.UTF_8)) {
            return lines.filter(line -> FAILURES.stream().anyMatch(line::contains))
                    .findFirst()
                    .orElse(null);
        } catch (IOException e) {
            throw new UncheckedIOException("no log", e);
        }
    }

    private long figure(String event, String key) {
        try (var lines = Files.lines(log, StandardCharsets.UTF_8)) {
            return lines.filter(line -> line.contains(event) && line.contains(key))
                    .mapToLong(line -> value(line, key))
                    .max()
                    .orElse(0);
        } catch (IOException e) {
            throw new UncheckedIOException("no log", e);
        }
    }

    private static long value(String line, String key) {
        String rest = line.substring(line.indexOf(key) + key.length()).toLowerCase(Locale.ROOT);
        int end = rest.indexOf(' ');
        return Long.parseLong(end < 0 ? rest : rest.substring(0, end));
    }
}
