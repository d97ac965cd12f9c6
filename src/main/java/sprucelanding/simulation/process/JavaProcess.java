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
 * This program in a process of its own, with the class path of this one. It can be started again
 * after it has ended. Not safe for use by several threads.
 */
public final class JavaProcess {
    /** Signals that can be sent to it. */
    public enum Signal {
        /** Asks it to end. */
        TERM,
        /** Pauses it. */
        STOP,
        /** Continues it. */
        CONT
    }

    private static final String MAIN_CLASS = "sprucelanding.cli.Main";
    private static final File NO_OUTPUT = new File("/dev/null");

    private final List<String> command = new ArrayList<>();
    private final Path log;
    private Optional<Process> process = Optional.empty();

    /**
     * Creates a process that isn't started yet.
     *
     * @param jvmOptions options of the Java virtual machine
     * @param arguments subcommand and its options
     * @param log file that output and errors are appended to
     */
    public JavaProcess(List<String> jvmOptions, List<String> arguments, Path log) {
        this.log = log;
        command.add(ProcessHandle.current().info().command().orElse("java"));
        command.addAll(jvmOptions);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), MAIN_CLASS));
        command.addAll(arguments);
    }

    /**
     * Starts it.
     *
     * @param environment variables beside those of this process
     * @throws IOException if it can't be started
     */
    public void start(Map<String, String> environment) throws IOException {
        ProcessBuilder builder =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().putAll(environment);
        process = Optional.of(builder.start());
    }

    /** Returns whether it was ever started. */
    public boolean isStarted() {
        return process.isPresent();
    }

    /** Returns whether it runs; a paused process does. */
    public boolean isAlive() {
        return process.isPresent() && process.get().isAlive();
    }

    /** Kills it; it must have been started. */
    public void kill() {
        process.orElseThrow().destroyForcibly();
    }

    /** Asks it to end; it must have been started. */
    public void terminate() {
        process.orElseThrow().destroy();
    }

    /** Waits until it has ended, or returns false after some seconds. */
    public boolean awaitEnd(long seconds) throws InterruptedException {
        return process.orElseThrow().waitFor(seconds, TimeUnit.SECONDS);
    }

    /**
     * Sends a signal, without waiting for its delivery; it must have been started.
     *
     * @throws UncheckedIOException if the signal can't be sent
     */
    public void signal(Signal signal) {
        String processId = Long.toString(process.orElseThrow().pid());
        try {
            new ProcessBuilder("kill", "-" + signal.name(), processId)
                    .redirectErrorStream(true)
                    .redirectOutput(NO_OUTPUT)
                    .start();
        } catch (IOException e) {
            throw new UncheckedIOException("no signal can be sent", e);
        }
    }

    /** Returns its handle, for what the system knows of it; empty if it was never started. */
    public Optional<ProcessHandle> handle() {
        return process.map(Process::toHandle);
    }
}
