package sprucelanding.runtime.server;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import sprucelanding.runtime.eventloop.EventLoop;
import sun.misc.Signal;

/**
 * A program that runs a governor so that the build can create its class-data archive. The governor
 * loads the classes that it needs in service: the run has a known endpoint list, a watch, a proxy,
 * a collector, health checks, a rejected connection and a configuration reload. All peers are on
 * loopback, and the run time is bounded. The program is not used in service.
 */
public final class ClassArchiveTraining {
    private static final String THREAD_NAME = "class-archive-training";
    private static final double DURATION_MILLIS = 3000;
    private static final double CONNECT_AFTER_MILLIS = DURATION_MILLIS / 4;
    private static final double RELOAD_AFTER_MILLIS = DURATION_MILLIS / 2;

    private ClassArchiveTraining() {}

    /**
     * Runs a governor for three seconds, then exits with code 0. If the governor ends early, the
     * exit code is 0 as well, and the archive holds fewer classes.
     *
     * @throws IOException if the configuration cannot be written or no port is free
     */
    public static void main(String[] args) throws IOException {
        Path configFile = Files.createTempFile(THREAD_NAME, ".json");
        configFile.toFile().deleteOnExit();
        EventLoop loop = EventLoop.start(THREAD_NAME);
        loop.schedule(DURATION_MILLIS, () -> System.exit(0));
        TrainingPeers peers = new TrainingPeers(loop);
        String discovery = peers.startDiscovery();
        String endpoint = peers.startEndpoint();
        int port = freePort();
        Files.writeString(configFile, TrainingMessages.configuration(port, discovery, endpoint));
        InetSocketAddress governor = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        loop.schedule(CONNECT_AFTER_MILLIS, () -> connectClients(peers, governor));
        loop.schedule(RELOAD_AFTER_MILLIS, () -> Signal.raise(new Signal("HUP")));
        GovernorServer.run(Map.of("NODE_CONFIG", configFile.toString()), System.err);
        System.exit(0);
    }

    private static void connectClients(TrainingPeers peers, InetSocketAddress governor) {
        peers.connect(governor, TrainingMessages.UNREADABLE);
        peers.connect(governor, TrainingMessages.PROXY);
        peers.connect(governor, TrainingMessages.PROXY);
        peers.connect(governor, TrainingMessages.COLLECTOR);
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }
}
