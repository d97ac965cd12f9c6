package sprucelanding.simulation.process;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Separate operating system process that runs this program with the class path of the current
 * process. The process can be started again after it has ended. Not thread-safe.
 */
public final class JavaProcess {
    /** Signal that can be sent to the process. */
    public enum Signal {
        /** Asks the process to end. */
        TERM,
        /** Pauses the process. */
        STOP,
        /** Continues a paused process. */
        CONT
    }

    private static final String MAIN_CLASS = "sprucelanding.cli.Main";
    private static final File NO_OUTPUT = new File("/dev/null");

    private final List<String> command = new ArrayList<>();
    private final Path log;
    private Optional<Process> process = Optional.empty();

    /**
     * Creates a process that has not been started.
     *
     * @param jvmOptions options of the Java virtual machine
     * @param arguments subcommand and its options
     * @param log file that standard output and standard error are appended to
     */
    public JavaProcess(List<String> jvmOptions, List<String> arguments, Path log) {
        this.log = log;
        command.add(ProcessHandle.current().info().command().orElse("java"));
        command.addAll(jvmOptions);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), MAIN_CLASS));
        command.addAll(arguments);
    }

    /**
     * Starts the process.
     *
     * @param environment environment variables to add to those of the current process
     * @throws IOException if the process cannot be started
     */
    public void start(Map<String, String> environment) throws IOException {
        ProcessBuilder builder =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().putAll(environment);
        process = Optional.of(builder.start());
    }

    /** Returns whether the process was ever started. */
    public boolean isStarted() {
        return process.isPresent();
    }

    /** Returns whether the process runs. A paused process counts as running. */
    public boolean isAlive() {
        return process.isPresent() && process.get().isAlive();
    }

    /** Kills the process. The process must have been started. */
    public void kill() {
        process.orElseThrow().destroyForcibly();
    }

    /** Asks the process to end. The process must have been started. */
    public void terminate() {
        process.orElseThrow().destroy();
    }

    /**
     * Waits until the process has ended; returns false if the process still runs after this number
     * of seconds.
     */
    public boolean awaitEnd(long seconds) throws InterruptedException {
        return process.orElseThrow().waitFor(seconds, TimeUnit.SECONDS);
    }

    /**
     * Sends a signal to the process without waiting for the delivery. The process must have been
     * started.
     *
     * @throws UncheckedIOException if the signal cannot be sent
     */
    public void signal(Signal signal) {
        String processId = Long.toString(process.orElseThrow().pid());
        try {
            new ProcessBuilder("kill", "-" + signal.name(), processId)
                    .redirectErrorStream(true)
                    .redirectOutput(NO_OUTPUT)
                    .start();
        } catch (IOException e) {
            throw new UncheckedIOException(
                    "cannot send signal " + signal.name() + " to process " + processId, e);
        }
    }

    /**
     * Returns the process handle, which gives access to what the operating system knows about the
     * process; empty if the process was never started.
     */
    public Optional<ProcessHandle> handle() {
        return process.map(Process::toHandle);
    }
}
