package sprucelanding.runtime.server;

import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.Map;
import sprucelanding.control.settings.MalformedInputException;
import sprucelanding.control.settings.SettingsReader;
import sprucelanding.runtime.eventloop.EventLoop;
import sun.misc.Signal;

/** One governor in service: reads where it is posted, then runs until it is ended. */
public final class GovernorServer {
    private GovernorServer() {}

    /**
     * Runs on this thread; the exit code. Given: the environment, whose NODE_CONFIG names the
     * posting.
     */
    public static int run(Map<String, String> environment, PrintStream err) {
        EventLog eventLog = new EventLog(err, EventLoop::nowMillis);
        EventLoop loop = new EventLoop("serve", eventLog::logLoopError);
        ConfigReloader reloader = new ConfigReloader();
        Signal.handle(new Signal("HUP"), signal -> loop.tryExecute(reloader::reload));
        Signal.handle(new Signal("TERM"), signal -> Runtime.getRuntime().halt(0));
        String configFile = environment.get("NODE_CONFIG");
        if (configFile == null) {
            eventLog.logStartFailure("NODE_CONFIG is not set");
            return 2;
        }
        try {
            start(loop, eventLog, Path.of(configFile), reloader);
        } catch (MalformedInputException | IOException e) {
            eventLog.logStartFailure(configFile + ": " + e.getMessage());
            return 2;
        } catch (UncheckedIOException e) {
            eventLog.logStartFailure(e.getMessage() + ": " + e.getCause().getMessage());
            return 2;
        }
        loop.run();
        return 1;
    }

    /** What a new posting does; nothing while the first is being read. */
    static final class ConfigReloader {
        private Runnable reloadAction = () -> {};

        void reload() {
            reloadAction.run();
        }
    }

    /**
     * All that runs on the loop, before it does; where connections come in. Throws
     * UncheckedIOException too.
     */
    static ConnectionListener start(
            EventLoop loop, EventLog eventLog, Path configFile, ConfigReloader reloader)
            throws IOException {
        NodeConfig config = NodeConfig.read(configFile);
        SettingsReader settings = config.settings();
        ControllerHost host = new ControllerHost(loop, eventLog, settings, config.seed());
        if (config.lastKnownList() != null) {
            try {
                host.applyEndpointList(config.lastKnownList(), true);
            } catch (MalformedInputException e) {
                eventLog.log(ServerEvent.KNOWN_LIST_UNUSABLE, e.getMessage());
            }
        }
        DiscoveryWatch watch =
                new DiscoveryWatch(
                        loop,
                        config.discoveryAddress(),
                        new DiscoveryWatch.ListHandler() {
                            @Override
                            public boolean onList(JsonObject list) {
                                return host.applyEndpointList(list, false);
                            }

                            @Override
                            public long revision() {
                                return host.revision();
                            }
                        },
                        eventLog);
        reloader.reloadAction =
                () -> {
                    try {
                        watch.moveTo(NodeConfig.read(configFile).discoveryAddress());
                        eventLog.log(ServerEvent.CONFIG_RELOADED);
                    } catch (MalformedInputException | IOException e) {
                        eventLog.log(ServerEvent.CONFIG_RELOAD_FAILED, e.getMessage());
                    }
                };
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
}
