package sprucelanding.runtime.server;

import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import sprucelanding.control.settings.MalformedInputException;
import sprucelanding.control.settings.SettingsReader;
import sprucelanding.runtime.eventloop.EventLoop;
import sun.misc.Signal;

/**
 * The {@code serve} command. It reads the configuration and runs one governor on the calling thread
 * until the process ends. On SIGHUP the governor reads the configuration again; on SIGTERM the
 * process ends at once.
 */
public final class GovernorServer {
    /** The environment variable that names the configuration file. */
    private static final String CONFIG_VARIABLE = "NODE_CONFIG";

    private static final int EXIT_LOOP_ENDED = 1;
    private static final int EXIT_CANNOT_START = 2;

    private GovernorServer() {}

    /**
     * Runs the governor. Returns only if the governor cannot start or its event loop has ended.
     *
     * @param environment the environment variables; NODE_CONFIG names the configuration file
     * @param err the stream that the log is written to
     * @return the exit code: 2 if the governor cannot start, 1 if its event loop has ended
     */
    public static int run(Map<String, String> environment, PrintStream err) {
        EventLog eventLog = new EventLog(err, EventLoop::nowMillis);
        EventLoop loop = new EventLoop("serve", eventLog::logLoopError);
        ConfigReloader reloader = new ConfigReloader();
        Signal.handle(new Signal("HUP"), signal -> loop.tryExecute(reloader::reload));
        Signal.handle(new Signal("TERM"), signal -> Runtime.getRuntime().halt(0));
        String configFile = environment.get(CONFIG_VARIABLE);
        if (configFile == null) {
            eventLog.logStartFailure(
                    CONFIG_VARIABLE + " is not set; it must name the configuration file");
            return EXIT_CANNOT_START;
        }
        try {
            start(loop, eventLog, Path.of(configFile), reloader);
        } catch (MalformedInputException | IOException e) {
            eventLog.logStartFailure(configFile + ": " + e.getMessage());
            return EXIT_CANNOT_START;
        } catch (UncheckedIOException e) {
            eventLog.logStartFailure(e.getMessage() + ": " + e.getCause().getMessage());
            return EXIT_CANNOT_START;
        }
        loop.run();
        return EXIT_LOOP_ENDED;
    }

    /**
     * Sets up everything that runs on the event loop. Called before the loop runs.
     *
     * @return the listener that clients connect to
     * @throws MalformedInputException if the configuration is invalid
     * @throws IOException if the configuration cannot be read
     * @throws UncheckedIOException if the configured address cannot be bound
     */
    static ConnectionListener start(
            EventLoop loop, EventLog eventLog, Path configFile, ConfigReloader reloader)
            throws IOException {
        NodeConfig config = NodeConfig.read(configFile);
        SettingsReader settings = config.settings();
        ControllerHost host = new ControllerHost(loop, eventLog, settings, config.seed());
        applyLastKnownList(config, host, eventLog);
        DiscoveryWatch watch =
                new DiscoveryWatch(
                        loop, config.discoveryAddress(), new HostListHandler(host), eventLog);
        reloader.enable(configFile, watch, eventLog);
        watch.start();
        ConnectionListener listener =
                new ConnectionListener(
                        loop, host, eventLog, settings.proxyCount(), config.maxDescriptors());
        listener.start(config.listenAddress());
        eventLog.log(
                new LogLine(ServerEvent.GOVERNOR_STARTED)
                        .withText("name", config.name())
                        .with("address", config.listenAddress().toString()));
        return listener;
    }

    private static void applyLastKnownList(
            NodeConfig config, ControllerHost host, EventLog eventLog) {
        Optional<JsonObject> list = config.lastKnownList();
        if (list.isEmpty()) {
            return;
        }
        try {
            host.applyEndpointList(list.get(), ListOrigin.LAST_RUN);
        } catch (MalformedInputException e) {
            eventLog.log(ServerEvent.KNOWN_LIST_UNUSABLE, e.getMessage());
        }
    }

    /** A handler that passes discovery's lists to the host. */
    private record HostListHandler(ControllerHost host) implements DiscoveryWatch.ListHandler {
        @Override
        public boolean onList(JsonObject list) {
            return host.applyEndpointList(list, ListOrigin.DISCOVERY);
        }

        @Override
        public boolean hasWithheldEntries() {
            return host.hasWithheldEntries();
        }

        @Override
        public long revision() {
            return host.revision();
        }
    }
}
