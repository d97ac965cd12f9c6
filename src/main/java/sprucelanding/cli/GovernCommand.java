package sprucelanding.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import sprucelanding.config.governor.GovernorConfig;

/** Runs a governor in this process until the process is stopped. */
@Command(
        name = "govern",
        mixinStandardHelpOptions = true,
        description = "Runs a governor until the process is stopped.")
final class GovernCommand implements Callable<Integer> {
    private static final Logger LOG = LoggerFactory.getLogger("sprucelanding.govern");

    /** Time that the shutdown waits for proxies to connect to other governors. */
    private static final double HANDOVER_TIMEOUT_MS = 2500;

    @Option(
            names = "--config",
            required = true,
            description = "governor configuration, a file of records")
    private Path config;

    @Mixin private ConfigOverlay overlay;

    @Override
    public Integer call() throws Exception {
        String text = Files.readString(config);
        GovernorConfig governorConfig =
                GovernorConfig.parse(
                        String.valueOf(config.getFileName()), text, overlay.name(), overlay.text());
        GovernorInstance instance = GovernorFactory.create(governorConfig, text);
        boolean hasPeers = !governorConfig.peers().others().isEmpty();
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> stop(instance, hasPeers), "shutdown"));
        instance.start(governorConfig.reports().every());
        Thread.currentThread().join();
        return ExitCode.OK;
    }

    private static void stop(GovernorInstance instance, boolean hasPeers) {
        boolean proxiesHandedOver = hasPeers && instance.governor().drain(HANDOVER_TIMEOUT_MS);
        LOG.atInfo().setMessage("stops").addKeyValue("proxiesSentOn", proxiesHandedOver).log();
        instance.close();
    }
}
