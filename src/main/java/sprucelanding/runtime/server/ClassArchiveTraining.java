package sprucelanding.runtime.server;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.function.BiConsumer;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.runtime.eventloop.HttpParser;
import sprucelanding.runtime.eventloop.TcpConnection;
import sun.misc.Signal;

/**
 * What the build plays once, so that its class-data archive holds what a governor in service loads:
 * a start with a known list, a watch, a proxy, a collector, a probe, a stranger and a new
 * configuration, all on loopback and for a bounded time. The governor in service never comes here.
 */
public final class ClassArchiveTraining {
    private static final double DURATION_MILLIS = 3000; // ms
    private static final int MAX_UNSENT_BYTES = 1 << 20;

    private ClassArchiveTraining() {}

    /** Exits 0, also if nothing could be played: the archive holds less then. */
    public static void main(String[] args) throws IOException {
        Path configFile = Files.createTempFile("rehearsal", ".json");
        configFile.toFile().deleteOnExit();
        EventLoop loop = EventLoop.start("rehearsal");
        loop.schedule(DURATION_MILLIS, () -> System.exit(0));
        String discovery =
                startServer(
                        loop,
                        (connection, text) ->
                                connection.write(
                                        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
                                                        + chunk(
                                                                endpointList(
                                                                        2,
                                                                        true,
                                                                        listEntry(
                                                                                "a1",
                                                                                "127.0.0.1:9",
                                                                                "ready"),
                                                                        listEntry(
                                                                                "a2",
                                                                                "127.0.0.1:9",
                                                                                "ready")))
                                                        + chunk(
                                                                endpointList(
                                                                        3,
                                                                        false,
                                                                        listEntry(
                                                                                "a1",
                                                                                "127.0.0.1:9",
                                                                                "draining"))))
                                                .getBytes(StandardCharsets.UTF_8)));
        String endpoint =
                startServer(
                        loop,
                        (connection, text) ->
                                connection.write(
                                        HttpParser.response(
                                                200,
                                                "TEXT util=0.5".getBytes(StandardCharsets.UTF_8))));
        int port;
        try (ServerSocket portProbe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = portProbe.getLocalPort();
        }
        Files.writeString(
                configFile,
                "{\"name\":\"rehearsal\",\"listen\":\"127.0.0.1:"
                        + port
                        + "\",\"discovery\":\""
                        + discovery
                        + "\",\"seed\":\"1\",\"limits\":{\"sockets\":256},\"known\":"
                        + endpointList(
                                1,
                                true,
                                listEntry("a1", endpoint, "ready"),
                                listEntry("a2", endpoint, "ready"),
                                listEntry("a3", endpoint, "ready"))
                        + ",\"settings\":{\"classes\":[{\"name\":\"one\","
                        + "\"effect\":\"pure\",\"worth\":1,\"promiseUs\":500000},{\"name\":\"two\",\"promiseUs\":500000}],\"zones\":[\"z\"],"
                        + "\"kinds\":[\"k\"],\"tickUs\":1000,\"report\":{\"how\":\"answers\",\"names\":[\"util\"]},\"contract\":{\"coldFrom\":0.3,"
                        + "\"warmAfterUs\":1000000},\"familyInfo\":{\"admit\":\"share\",\"proxies\":2,\"egressPerS\":3000,\"head\":6,"
                        + "\"queueCap\":5000,\"reportEveryUs\":300000},\"ceilings\":{\"probes\":true}}}");
        InetSocketAddress governor = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        loop.schedule(
                DURATION_MILLIS / 4,
                () -> {
                    connectAndSend(loop, governor, "noise\n");
                    connectAndSend(
                            loop,
                            governor,
                            "{\"msg\":\"ping\"}\n{\"msg\":\"joined\",\"sidecar\":0,\"az\":\"z\",\"share\":9.5,\"standing\":true}\n"
                                    + "{\"msg\":\"usage\",\"sidecar\":0,\"kind\":\"one\",\"n\":19,\"bad\":0,\"window\":1000.0}\n");
                    connectAndSend(
                            loop,
                            governor,
                            "{\"msg\":\"collector\",\"az\":\"z\"}\n{\"msg\":\"heard\",\"az\":\"z\",\"host\":\"a2\",\"n\":9,\"bad\":1,"
                                    + "\"avg\":41.7,\"window\":1000.0,\"report\":{\"util\":0.61}}\n");
                });
        loop.schedule(DURATION_MILLIS / 2, () -> Signal.raise(new Signal("HUP")));
        GovernorServer.run(Map.of("NODE_CONFIG", configFile.toString()), System.err);
        System.exit(0);
    }

    /** Answers whatever comes there, once; its address. */
    private static String startServer(EventLoop loop, BiConsumer<TcpConnection, String> responder) {
        ServerSocketChannel server =
                loop.listen(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        50,
                        channel ->
                                loop.register(
                                        channel,
                                        MAX_UNSENT_BYTES,
                                        (connection, buffer) ->
                                                responder.accept(connection, decode(buffer))));
        return "127.0.0.1:" + loop.localPort(server);
    }

    /** Dials, says it, and confirms each receipt that is asked for. */
    private static void connectAndSend(EventLoop loop, InetSocketAddress address, String message) {
        loop.connect(
                address,
                null,
                MAX_UNSENT_BYTES,
                new TcpConnection.Listener() {
                    @Override
                    public void onConnected(TcpConnection connection) {
                        connection.write(message.getBytes(StandardCharsets.UTF_8));
                    }

                    @Override
                    public void onReceived(TcpConnection connection, ByteBuffer buffer) {
                        String text = decode(buffer);
                        int nonce = text.lastIndexOf("\"nonce_out\":");
                        if (nonce >= 0) {
                            String version = text.substring(nonce + 12).split("}")[0];
                            connection.write(
                                    ("{\"msg\":\"applied\",\"sidecar\":0,\"version\":"
                                                    + version
                                                    + ",\"lag_ms\":9.5}\n")
                                            .getBytes(StandardCharsets.UTF_8));
                        }
                    }
                });
    }

    private static String decode(ByteBuffer buffer) {
        return StandardCharsets.UTF_8.decode(buffer).toString();
    }

    private static String listEntry(String uid, String endpoint, String state) {
        return "{\"uid\":\""
                + uid
                + "\",\"endpoint\":\""
                + endpoint
                + "\",\"az\":\"z\",\"model\":\"k\",\"pod_group\":0,\"state\":\""
                + state
                + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }

    private static String endpointList(int revision, boolean full, String... entries) {
        return "{\"rev\":"
                + revision
                + ",\"all\":"
                + full
                + ",\"targets\":["
                + String.join(",", entries)
                + "]}";
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length() + 1) + "\r\n" + text + "\n\r\n";
    }
}
