package sprucelanding.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sprucelanding.config.governor.GovernorComponents;
import sprucelanding.config.governor.GovernorConfig;
import sprucelanding.control.core.ControllerInput;
import sprucelanding.control.core.DirectInput;
import sprucelanding.control.core.InputListener;
import sprucelanding.control.decision.RoutingController;
import sprucelanding.front.netconf.DeviceKeys;
import sprucelanding.front.netconf.NetconfFront;
import sprucelanding.front.xds.XdsFront;
import sprucelanding.replay.capture.CaptureWriter;
import sprucelanding.replay.capture.RecordingInput;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.runtime.governor.GenerationFile;
import sprucelanding.runtime.governor.Governor;
import sprucelanding.runtime.governor.PeerKeys;

/** Factory of governors. Creates a governor and its fronts from a governor configuration. */
final class GovernorFactory {
    private static final Logger LOG = LoggerFactory.getLogger(GovernorFactory.class);
    private static final String RATE_ADMISSION = "rate";
    private static final int MEBIBYTE_SHIFT = 20;

    /**
     * Objects that pass the inputs to the controller, and record them if there is a capture.
     *
     * @param input passes inputs to the controller, directly or through a recorder
     * @param listener the recorder, or {@link InputListener#NONE} if there is no capture
     */
    private record InputPath(ControllerInput input, InputListener listener) {}

    private GovernorFactory() {}

    /**
     * Creates a governor with its fronts. Opens the capture if one is configured. Renames the
     * capture of an earlier start of the process first.
     *
     * @param config the configuration
     * @param configText the text of the configuration, which the capture stores
     * @throws IllegalArgumentException if a field breaks a rule that the schema does not express;
     *     the message names the field
     * @throws IOException if a file cannot be read or written
     */
    static GovernorInstance create(GovernorConfig config, String configText) throws IOException {
        RoutingController controller = GovernorComponents.createController(config);
        Optional<CaptureWriter> captureWriter = openCapture(config, configText);
        Governor governor =
                createGovernor(config, controller, inputPath(controller, captureWriter));
        XdsFront xdsFront = createXdsFront(config, governor);
        governor.addFront(xdsFront);
        Optional<NetconfFront> netconfFront = createNetconfFront(config, governor);
        netconfFront.ifPresent(governor::addFront);
        return new GovernorInstance(governor, xdsFront, netconfFront, captureWriter);
    }

    private static InputPath inputPath(
            RoutingController controller, Optional<CaptureWriter> captureWriter) {
        ControllerInput direct = new DirectInput(controller);
        if (captureWriter.isEmpty()) {
            return new InputPath(direct, InputListener.NONE);
        }
        RecordingInput recorder = new RecordingInput(direct, captureWriter.get()::append);
        return new InputPath(recorder, recorder);
    }

    private static Governor createGovernor(
            GovernorConfig config, RoutingController controller, InputPath inputPath)
            throws IOException {
        Governor.PeerSettings peers = createPeers(config);
        return new Governor(
                configuredNames(config),
                discoverySettings(config.roster()),
                new Governor.HealthCheckSettings(
                        config.probes().allowed(), config.probes().timeout()),
                config.admits().equals(RATE_ADMISSION),
                peers,
                host ->
                        GovernorComponents.createCore(
                                config,
                                host,
                                controller,
                                inputPath.input,
                                inputPath.listener,
                                System.currentTimeMillis() - EventLoop.nowMillis()));
    }

    private static Governor.ConfiguredNames configuredNames(GovernorConfig config) {
        return new Governor.ConfiguredNames(
                config.products().stream().map(GovernorConfig.RequestClassConfig::name).toList(),
                config.zones(),
                config.kinds());
    }

    private static Governor.DiscoverySettings discoverySettings(
            GovernorConfig.DiscoveryConfig discovery) {
        return new Governor.DiscoverySettings(
                SocketAddresses.parse(discovery.at(), "roster.at"),
                discovery.from() == null ? null : new InetSocketAddress(discovery.from(), 0),
                discovery.pushed(),
                discovery.keep() == null ? null : Path.of(discovery.keep()));
    }

    private static XdsFront createXdsFront(GovernorConfig config, Governor governor)
            throws IOException {
        return new XdsFront(
                governor,
                governor,
                config.name(),
                SocketAddresses.parse(config.xds().at(), "xds.at"),
                config.xds().largest(),
                config.reports().every());
    }

    private static Optional<NetconfFront> createNetconfFront(
            GovernorConfig config, Governor governor) throws IOException {
        GovernorConfig.NetconfConfig netconf = config.netconf();
        if (netconf == null) {
            return Optional.empty();
        }
        return Optional.of(
                new NetconfFront(
                        governor,
                        governor,
                        config.name(),
                        SocketAddresses.parse(netconf.at(), "netconf.at"),
                        new DeviceKeys(Path.of(netconf.key()), Path.of(netconf.devices())),
                        netconf.user(),
                        netconf.largest(),
                        new NetconfFront.EditLimits(
                                netconf.answers(),
                                netconf.confirms(),
                                netconf.locks(),
                                netconf.atOnce())));
    }

    /**
     * Creates the settings of a shared fleet. Returns null, which {@link Governor} accepts, if
     * there are no other governors.
     */
    private static Governor.PeerSettings createPeers(GovernorConfig config) throws IOException {
        GovernorConfig.PeersConfig peers = config.peers();
        if (peers.others().isEmpty()) {
            return null;
        }
        requirePeerSettings(peers);
        Map<Integer, InetSocketAddress> addressByNumber = new TreeMap<>();
        for (GovernorConfig.PeerConfig peer : peers.others()) {
            addressByNumber.put(peer.number(), SocketAddresses.parse(peer.at(), "peers.others"));
        }
        GenerationFile generationFile =
                new GenerationFile(
                        peers.keep() == null ? null : Path.of(peers.keep()),
                        System.currentTimeMillis());
        return new Governor.PeerSettings(
                GovernorComponents.createFleetMember(
                        config, generationFile.generation(), EventLoop.nowMillis()),
                SocketAddresses.parse(peers.at(), "peers.at"),
                addressByNumber,
                new PeerKeys(Path.of(peers.key())),
                generationFile);
    }

    private static void requirePeerSettings(GovernorConfig.PeersConfig peers) {
        if (peers.at() == null || peers.key() == null) {
            throw new IllegalArgumentException(
                    "peers."
                            + (peers.at() == null ? "at" : "key")
                            + ": missing, but expected because peers.others is not empty");
        }
    }

    private static Optional<CaptureWriter> openCapture(GovernorConfig config, String configText)
            throws IOException {
        GovernorConfig.CaptureConfig capture = config.capture();
        if (capture == null) {
            return Optional.empty();
        }
        Path file = Path.of(capture.file());
        CaptureWriter.rotate(file);
        return Optional.of(
                new CaptureWriter(
                        file,
                        configText,
                        capture.waits(),
                        (long) capture.most() << MEBIBYTE_SHIFT,
                        fault ->
                                LOG.atWarn()
                                        .setMessage(fault)
                                        .addKeyValue("file", capture.file())
                                        .log()));
    }

    /**
     * Checks the parts of a configuration that can be checked without opening sockets or files.
     *
     * @throws IllegalArgumentException if a field is invalid; the message names the field
     */
    static void validate(GovernorConfig config) {
        GovernorComponents.createController(config);
        GovernorComponents.createFleetMember(config, 0, 0);
        if (!config.peers().others().isEmpty()) {
            requirePeerSettings(config.peers());
        }
        SocketAddresses.parse(config.xds().at(), "xds.at");
        SocketAddresses.parse(config.roster().at(), "roster.at");
    }
}
