package sprucelanding.runtime.server;

import java.io.IOException;
import java.nio.file.Path;
import sprucelanding.control.settings.MalformedInputException;

/**
 * Reads the configuration again: the watch moves to discovery's address in it, nothing else
 * changes. Does nothing until it is enabled. Event loop's thread only, once the loop runs.
 */
final class ConfigReloader {
    private Path configFile;
    private DiscoveryWatch watch;
    private EventLog eventLog;

    /** The governor is set up far enough for a reload. */
    void enable(Path file, DiscoveryWatch discoveryWatch, EventLog log) {
        configFile = file;
        watch = discoveryWatch;
        eventLog = log;
    }

    /** Reads the file again; one that cannot be used changes nothing. */
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
