package sprucelanding.runtime.server;

import java.io.IOException;
import java.nio.file.Path;
import sprucelanding.control.settings.MalformedInputException;

/**
 * A handler of SIGHUP that reads the configuration file again. It applies only discovery's address,
 * by moving the watch; no other setting changes. The reloader does nothing until it is enabled.
 * Once the event loop runs, the reloader is used on the loop's thread only.
 */
final class ConfigReloader {
    private Path configFile;
    private DiscoveryWatch watch;
    private EventLog eventLog;

    /** Enables reloads. Called once the watch and the log exist. */
    void enable(Path file, DiscoveryWatch discoveryWatch, EventLog log) {
        configFile = file;
        watch = discoveryWatch;
        eventLog = log;
    }

    /** Reads the configuration file again. A file that is unreadable or invalid changes nothing. */
    void reload() {
        if (watch == null) {
            return;
        }
        try {
            watch.moveTo(NodeConfig.read(configFile).discoveryAddress());
            eventLog.log(ServerEvent.CONFIG_RELOADED);
        } catch (MalformedInputException | IOException e) {
            eventLog.log(ServerEvent.CONFIG_RELOAD_FAILED, e.getMessage());
        }
    }
}
