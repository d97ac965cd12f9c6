package sprucelanding.simulation.scenario;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import sprucelanding.simulation.process.JavaProcess;

/**
 * A governor in a separate process ({@code govern}), which can be killed, paused and stopped. The
 * figures that the governor reports are read from its log.
 */
public final class GovernorProcess {
    private static final List<String> JVM_OPTIONS =
            List.of("-Xmx512m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=4");
    private static final int READY_TIMEOUT_SECONDS = 20;
    private static final int CONNECT_TIMEOUT_MILLIS = 200;
    private static final int CONNECT_INTERVAL_MILLIS = 20;
    private static final int STOP_TIMEOUT_SECONDS = 3;
    private static final int MAX_QUOTED_CHARACTERS = 2000;
    private static final String FIGURES_EVENT = "\"message\":\"figures\"";
    private static final String FRONT_EVENT = "\"message\":\"front\"";

    private final int number;
    private final int zone;
    private final int port;
    private final Path log;
    private final JavaProcess process;

    /**
     * Writes the configuration of a governor without starting the governor.
     *
     * @param zone position of the governor's zone
     * @param port port that proxies connect to
     * @param folder folder for the configuration and the log
     * @param overlay file with records that replace some of the configuration
     */
    GovernorProcess(
            int number,
            int zone,
            int port,
            Path folder,
            String governorConfig,
            Optional<Path> overlay)
            throws IOException {
        this.number = number;
        this.zone = zone;
        this.port = port;
        this.log = folder.resolve("governor-" + number + ".log");
        Path config = folder.resolve("governor-" + number + ".cue");
        Files.writeString(config, governorConfig);
        List<String> arguments = new ArrayList<>(List.of("govern", "--config", config.toString()));
        overlay.ifPresent(file -> arguments.addAll(List.of("--with", file.toString())));
        process = new JavaProcess(JVM_OPTIONS, arguments, log);
    }

    int number() {
        return number;
    }

    int zone() {
        return zone;
    }

    int port() {
        return port;
    }

    void start() {
        try {
            process.start(Map.of());
        } catch (IOException e) {
            throw new UncheckedIOException("governor " + number + " could not be started", e);
        }
    }

    /**
     * Waits until the governor listens.
     *
     * @throws IOException with the end of the log if the governor does not listen in time or has
     *     ended
     */
    void awaitReady() throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_SECONDS);
        while (System.nanoTime() < deadlineNanos && process.isAlive()) {
            try (Socket socket = new Socket()) {
                socket.connect(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                        CONNECT_TIMEOUT_MILLIS);
                return;
            } catch (IOException e) {
                Thread.sleep(CONNECT_INTERVAL_MILLIS); // the governor does not listen yet
            }
        }
        String logText = Files.readString(log);
        String endOfLog = logText.substring(Math.max(0, logText.length() - MAX_QUOTED_CHARACTERS));
        throw new IOException(
                "governor "
                        + number
                        + " does not listen on port "
                        + port
                        + "; end of log: "
                        + endOfLog);
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

    /**
     * Ends the process and waits for its end. The process is killed if it has not ended in time.
     */
    void stop() throws InterruptedException {
        if (process.isStarted()) {
            process.signal(JavaProcess.Signal.CONT);
            process.terminate();
            if (!process.awaitEnd(STOP_TIMEOUT_SECONDS)) {
                process.kill();
            }
        }
    }

    /** Returns the processor time of the process so far, in ms; 0 if the time is not known. */
    double cpuMillis() {
        return process.handle()
                .flatMap(handle -> handle.info().totalCpuDuration())
                .map(duration -> duration.toNanos() / 1e6)
                .orElse(0.0);
    }

    /** Returns the peak memory of the process, in MiB; 0 if the peak is not known. */
    double memoryMiB() {
        if (!process.isStarted()) {
            return 0;
        }
        Path status = Path.of("/proc/" + process.handle().orElseThrow().pid() + "/status");
        try (Stream<String> lines = Files.lines(status)) {
            return lines.filter(line -> line.startsWith("VmHWM"))
                    .findFirst()
                    .map(line -> Double.parseDouble(line.replaceAll("[^0-9]", "")) / 1024)
                    .orElse(0.0);
        } catch (IOException | UncheckedIOException | NumberFormatException e) {
            return 0; // the process has ended, or the system does not provide this file
        }
    }

    /** Returns the figures that the governor logged, one map for each line, oldest first. */
    List<Map<String, String>> figures(ObjectMapper json) {
        List<Map<String, String>> figures = new ArrayList<>();
        try (Stream<String> lines = Files.lines(log)) {
            for (String line : lines.filter(GovernorProcess::isFiguresLine).toList()) {
                figures.add(keysAndValues(line, json));
            }
        } catch (IOException e) {
            figures.add(Map.of("unreadable", String.valueOf(e.getMessage())));
        }
        return figures;
    }

    private static boolean isFiguresLine(String line) {
        return line.contains(FIGURES_EVENT) || line.contains(FRONT_EVENT);
    }

    private static Map<String, String> keysAndValues(String line, ObjectMapper json)
            throws IOException {
        Map<String, String> figures = new LinkedHashMap<>();
        json.readTree(line)
                .path("kvpList")
                .forEach(
                        pair ->
                                pair.fields()
                                        .forEachRemaining(
                                                field ->
                                                        figures.put(
                                                                field.getKey(),
                                                                field.getValue().asText())));
        return figures;
    }

    /** Returns the number of log lines that contain a text; 0 if the log cannot be read. */
    long countLogged(String text) {
        try (Stream<String> lines = Files.lines(log)) {
            return lines.filter(line -> line.contains(text)).count();
        } catch (IOException e) {
            return 0;
        }
    }
}
