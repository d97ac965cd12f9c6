package sprucelanding.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sprucelanding.config.governor.GovernorComponents;
import sprucelanding.config.governor.GovernorConfig;
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

/** Puts a governor together from what it is told. */
public final class GovernorFactory {
    /** A governor and its fronts, not started; netconf is null where there is none. */
    public record GovernorInstance(
            Governor governor,
            XdsFront xdsFront,
            NetconfFront netconfFront,
            CaptureWriter captureWriter) {
        public void start(double reportIntervalMillis) throws IOException {
            governor.start(reportIntervalMillis);
            xdsFront.start();
            if (netconfFront != null) {
                netconfFront.start();
            }
        }

        public void close() {
            governor.close();
            if (captureWriter != null) {
                captureWriter.close();
            }
        }
    }

    private static final Logger LOG = LoggerFactory.getLogger(GovernorFactory.class);

    private GovernorFactory() {}

    /**
     * Throws IllegalArgumentException, which names the field, for what the records' types cannot
     * say.
     *
     * @param text the station as it was written, for a capture
     */
    public static GovernorInstance create(GovernorConfig config, String configText)
            throws IOException {
        RoutingController controller = GovernorComponents.controller(config);
        CaptureWriter captureWriter = openCapture(config, configText);
        RecordingInput recorder =
                captureWriter == null
                        ? null
                        : new RecordingInput(new DirectInput(controller), captureWriter::append);
        Governor.PeerSettings peers = createPeers(config);
        Governor governor =
                new Governor(
                        new Governor.SiteNames(
                                config.products().stream()
                                        .map(GovernorConfig.RequestClassConfig::name)
                                        .toList(),
                                config.zones(),
                                config.kinds()),
                        new Governor.DiscoverySettings(
                                parseAddress(config.roster().at(), "roster.at"),
                                config.roster().from() == null
                                        ? null
                                        : new InetSocketAddress(config.roster().from(), 0),
                                config.roster().pushed(),
                                config.roster().keep() == null
                                        ? null
                                        : Path.of(config.roster().keep())),
                        new Governor.HealthCheckSettings(
                                config.probes().allowed(), config.probes().timeout()),
                        config.admits().equals("rate"),
                        peers,
                        host ->
                                GovernorComponents.core(
                                        config,
                                        host,
                                        controller,
                                        captureWriter == null
                                                ? new DirectInput(controller)
                                                : recorder,
                                        captureWriter == null ? InputListener.NONE : recorder,
                                        System.currentTimeMillis() - EventLoop.nowMillis()));
        XdsFront xdsFront =
                new XdsFront(
                        governor,
                        governor,
                        config.name(),
                        parseAddress(config.xds().at(), "xds.at"),
                        config.xds().largest(),
                        config.reports().every());
        governor.addFront(xdsFront);
        GovernorConfig.NetconfConfig netconfConfig = config.netconf();
        NetconfFront netconfFront =
                netconfConfig == null
                        ? null
                        : new NetconfFront(
                                governor,
                                governor,
                                config.name(),
                                parseAddress(netconfConfig.at(), "netconf.at"),
                                new DeviceKeys(
                                        Path.of(netconfConfig.key()),
                                        Path.of(netconfConfig.devices())),
                                netconfConfig.user(),
                                netconfConfig.largest(),
                                new NetconfFront.EditLimits(
                                        netconfConfig.answers(),
                                        netconfConfig.confirms(),
                                        netconfConfig.locks(),
                                        netconfConfig.atOnce()));
        if (netconfFront != null) {
            governor.addFront(netconfFront);
        }
        return new GovernorInstance(governor, xdsFront, netconfFront, captureWriter);
    }

    /**
     * Null if it is alone; throws IllegalArgumentException with the field, or IOException for what
     * its files say.
     */
    private static Governor.PeerSettings createPeers(GovernorConfig config) throws IOException {
        GovernorConfig.PeersConfig peersConfig = config.peers();
        if (peersConfig.others().isEmpty()) {
            return null;
        }
        requirePeerSettings(peersConfig);
        Map<Integer, InetSocketAddress> peerAddresses = new TreeMap<>();
        peersConfig
                .others()
                .forEach(
                        peer ->
                                peerAddresses.put(
                                        peer.number(), parseAddress(peer.at(), "peers.others")));
        GenerationFile incarnation =
                new GenerationFile(
                        peersConfig.keep() == null ? null : Path.of(peersConfig.keep()),
                        System.currentTimeMillis());
        return new Governor.PeerSettings(
                GovernorComponents.fleetMember(
                        config, incarnation.generation(), EventLoop.nowMillis()),
                parseAddress(peersConfig.at(), "peers.at"),
                peerAddresses,
                new PeerKeys(Path.of(peersConfig.key())),
                incarnation);
    }

    private static void requirePeerSettings(GovernorConfig.PeersConfig peersConfig) {
        if (peersConfig.at() == null || peersConfig.key() == null) {
            throw new IllegalArgumentException(
                    "peers."
                            + (peersConfig.at() == null ? "at" : "key")
                            + ": missing, but there are others");
        }
    }

    private static CaptureWriter openCapture(GovernorConfig config, String configText)
            throws IOException {
        GovernorConfig.CaptureConfig captureConfig = config.capture();
        if (captureConfig == null) {
            return null;
        }
        Path file = Path.of(captureConfig.file());
        CaptureWriter.rotate(file);
        return new CaptureWriter(
                file,
                configText,
                captureConfig.waits(),
                (long) captureConfig.most() << 20,
                fault ->
                        LOG.atWarn()
                                .setMessage(fault)
                                .addKeyValue("file", captureConfig.file())
                                .log());
    }

    /** All of a station but its sockets; throws IllegalArgumentException with the field. */
    static void validate(GovernorConfig config) {
        GovernorComponents.controller(config);
        GovernorComponents.fleetMember(config, 0, 0);
        if (!config.peers().others().isEmpty()) {
            requirePeerSettings(config.peers());
        }
        parseAddress(config.xds().at(), "xds.at");
        parseAddress(config.roster().at(), "roster.at");
    }

    /** host:port; throws IllegalArgumentException with the field's name. */
    static InetSocketAddress parseAddress(String configText, String field) {
        int colon = configText.lastIndexOf(':');
        try {
            int port = Integer.parseInt(configText.substring(colon + 1));
            if (colon > 0 && port >= 0 && port <= 65_535) {
                return new InetSocketAddress(configText.substring(0, colon), port);
            }
        } catch (NumberFormatException e) {
            // said below
        }
        throw new IllegalArgumentException(field + ": \"" + configText + "\" is no host:port");
    }
}
