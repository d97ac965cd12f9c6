package sprucelanding.simulation.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import sprucelanding.simulation.process.JavaProcess;

/**
 * A governor process on this machine, which runs {@code serve} with the JVM options of the
 * deployment file. The log of the process is searched for internal faults.
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

    /** Texts that mark an internal fault in the log. */
    private static final List<String> FAULT_TEXTS =
            List.of(
                    "decision failed",
                    "step failed",
                    "update_failed",
                    "guard_refused_line",
                    "Exception",
                    "OutOfMemoryError");

    private static final String CONFIG_VARIABLE = "NODE_CONFIG";
    private static final String DRAIN_STATUS_EVENT = "event=drain_status";
    private static final String OVERDUE_KEY = "overdue=";
    private static final int STOP_TIMEOUT_SECONDS = 5;

    private final int number;
    private final Path config;
    private final Path log;
    private final JavaProcess process;

    /**
     * Creates the process description without starting a process.
     *
     * @param folder folder for the configuration and the log
     */
    ServeProcess(int number, Path folder) {
        this.number = number;
        this.config = folder.resolve("governor-" + number + ".json");
        this.log = folder.resolve("governor-" + number + ".log");
        this.process = new JavaProcess(JVM_OPTIONS, List.of("serve"), log);
    }

    /**
     * Starts the process.
     *
     * @param json node configuration
     * @throws UncheckedIOException if the process cannot be started
     */
    void start(String json) {
        try {
            Files.writeString(config, json);
            process.start(Map.of(CONFIG_VARIABLE, config.toString()));
        } catch (IOException e) {
            throw new UncheckedIOException(
                    "governor " + number + " cannot be started with configuration " + config, e);
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    void kill() {
        process.kill();
    }

    void signal(JavaProcess.Signal signal) {
        process.signal(signal);
    }

    /** Kills the process and waits until it has ended. */
    void stop() throws InterruptedException {
        if (process.isStarted()) {
            process.kill();
            process.awaitEnd(STOP_TIMEOUT_SECONDS);
        }
    }

    /**
     * Returns the highest number of overdue removals in the log, that is, of removals that were not
     * acknowledged by their deadline. Returns 0 if the log reports none.
     */
    long maxOverdueLogged() {
        try (Stream<String> lines = Files.lines(log, StandardCharsets.UTF_8)) {
            return lines.filter(
                            line -> line.contains(DRAIN_STATUS_EVENT) && line.contains(OVERDUE_KEY))
                    .mapToLong(line -> value(line, OVERDUE_KEY))
                    .max()
                    .orElse(0);
        } catch (IOException e) {
            throw new UncheckedIOException(
                    "log " + log + " of governor " + number + " cannot be read", e);
        }
    }

    /** Returns the first log line that reports an internal fault. */
    Optional<String> firstFaultLogged() {
        try (Stream<String> lines = Files.lines(log, StandardCharsets.UTF_8)) {
            return lines.filter(line -> FAULT_TEXTS.stream().anyMatch(line::contains)).findFirst();
        } catch (IOException e) {
            throw new UncheckedIOException(
                    "log " + log + " of governor " + number + " cannot be read", e);
        }
    }

    private static long value(String line, String key) {
        String rest = line.substring(line.indexOf(key) + key.length()).toLowerCase(Locale.ROOT);
        int end = rest.indexOf(' ');
        return Long.parseLong(end < 0 ? rest : rest.substring(0, end));
    }
}
