package sprucelanding.runtime.server;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import sprucelanding.runtime.eventloop.EventLoop;

/**
 * A governor in service on loopback, with a simulated discovery. Timeouts are long, but each wait
 * ends as soon as its condition holds.
 */
final class ServerHarness implements Closeable {
    private static final int TIMEOUT_MILLIS = 15_000;

    /** The test's end of a connection, read line by line. */
    static final class Peer implements Closeable {
        final Socket socket;
        private final InputStream input;

        Peer(Socket socket) throws IOException {
            this.socket = socket;
            socket.setSoTimeout(TIMEOUT_MILLIS);
            input = socket.getInputStream();
        }

        Peer send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().flush();
            return this;
        }

        /** Returns the next line; null once the governor has closed the connection. */
        String readLine() throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            try {
                for (int next = input.read(); next >= 0; next = input.read()) {
                    if (next == '\n') {
                        return line.toString(StandardCharsets.UTF_8);
                    }
                    line.write(next);
                }
            } catch (SocketTimeoutException e) {
                throw new AssertionError("no line within " + TIMEOUT_MILLIS + " ms", e);
            } catch (IOException e) {
                return null; // a reset
            }
            return null;
        }

        /** Skips lines up to one that contains the text, and returns it. */
        String readUntil(String text) throws IOException {
            for (String line = readLine(); line != null; line = readLine()) {
                if (line.contains(text)) {
                    return line;
                }
            }
            throw new AssertionError("connection closed before a line with " + text);
        }

        /** Returns whether the connection was closed with no other message than {@code refused}. */
        boolean isRejected() throws IOException {
            String line = readLine();
            return line == null || line.equals("{\"msg\":\"refused\"}") && readLine() == null;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    final EventLoop loop;
    final ConnectionListener listener;
    final ConfigReloader reloader = new ConfigReloader();
    final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
    private final Path configFile;
    private final int port;
    private final int maxDescriptors;
    private final List<ServerSocket> servers = new ArrayList<>();
    private final List<Peer> peers = new ArrayList<>();

    /** Watches that were opened: the port and request line of each, and its connection. */
    private final BlockingQueue<Object[]> watchRequests = new LinkedBlockingQueue<>();

    ServerHarness(Path folder) throws IOException {
        this(folder, 1024);
    }

    ServerHarness(Path folder, int maxDescriptors) throws IOException {
        this.maxDescriptors = maxDescriptors;
        configFile = folder.resolve("governor.json");
        try (ServerSocket portProbe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = portProbe.getLocalPort();
        }
        writeConfig(startDiscovery());
        PrintStream err = new PrintStream(logOutput, true, StandardCharsets.UTF_8);
        EventLog eventLog = new EventLog(err, EventLoop::nowMillis);
        loop = new EventLoop("test", eventLog::logLoopError);
        listener = GovernorServer.start(loop, eventLog, configFile, reloader);
        Thread thread = new Thread(loop);
        thread.setDaemon(true);
        thread.start();
    }

    /** Starts another discovery and returns its address. */
    String startDiscovery() throws IOException {
        ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        servers.add(server);
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                while (true) {
                                    Peer peer = new Peer(server.accept());
                                    String requestLine = peer.readLine();
                                    while (!peer.readLine().isBlank()) {
                                        continue;
                                    }
                                    peer.send(
                                            "HTTP/1.1 200 OK\r\n"
                                                    + "Transfer-Encoding: chunked\r\n\r\n");
                                    watchRequests.add(
                                            new Object[] {
                                                server.getLocalPort() + " " + requestLine, peer
                                            });
                                }
                            } catch (IOException | NullPointerException e) {
                                // the test has ended
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        return "127.0.0.1:" + server.getLocalPort();
    }

    void writeConfig(String discovery) throws IOException {
        Files.writeString(
                configFile,
                "{\"name\":\"n0\",\"listen\":\"127.0.0.1:"
                        + port
                        + "\",\"discovery\":\""
                        + discovery
                        + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":"
                        + maxDescriptors
                        + "},\"known\":"
                        + list(
                                41,
                                true,
                                entry("s-1", "ready"),
                                entry("s-2", "ready"),
                                entry("s-3", "ready"))
                        + ",\"settings\":{\"classes\":[{\"name\":\"read\",\"effect\":"
                        + "\"pure\",\"worth\":1,\"promiseUs\":750000},{\"name\":\"sign\",\"effect\":\"side_effect\",\"worth\":2,\"promiseUs\":"
                        + "800000}],\"zones\":[\"a\",\"b\"],\"kinds\":[\"m1\"],\"tickUs\":1000,\"report\":{\"how\":\"answers\",\"names\":"
                        + "[\"cpu_share\"]},\"contract\":{\"coldFrom\":0.3,\"warmAfterUs\":1000000},\"familyInfo\":{\"admit\":\"share\",\"proxies\":"
                        + "60,\"egressPerS\":3000.0,\"head\":6.0,\"queueCap\":5000.0,\"updateCap\":0,\"reloadSpanUs\":10000000},"
                        + "\"ceilings\":{\"probes\":false}}}");
    }

    /** Reloads the configuration as on SIGHUP, and waits until it is done. */
    void reloadConfig() throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        loop.tryExecute(reloader::reload);
        loop.tryExecute(done::countDown);
        if (!done.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
            throw new AssertionError("the event loop did not reload the configuration in time");
        }
    }

    void writeConfig(byte[] content) throws IOException {
        Files.write(configFile, content);
    }

    static String entry(String uid, String state) {
        return "{\"uid\":\""
                + uid
                + "\",\"endpoint\":\"127.0.0.1:9\",\"az\":\"a\",\"model\":\"m1\",\"pod_group\":0,\"state\":\""
                + state
                + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }

    static String list(int revision, boolean full, String... entries) {
        return "{\"rev\":"
                + revision
                + ",\"all\":"
                + full
                + ",\"targets\":["
                + String.join(",", entries)
                + "]}";
    }

    /** Returns one line of a watch as one HTTP chunk. */
    static String chunk(String text) {
        return Integer.toHexString(text.length() + 1) + "\r\n" + text + "\n\r\n";
    }

    /** Returns the next watch that is opened. Its request must contain the given text. */
    Peer nextWatch(String expectedRequest) throws InterruptedException {
        Object[] next = watchRequests.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        if (next == null || !((String) next[0]).contains(expectedRequest)) {
            throw new AssertionError(
                    "expected a watch for "
                            + expectedRequest
                            + ", got "
                            + (next == null ? "none" : next[0]));
        }
        return (Peer) next[1];
    }

    Peer connect() throws IOException {
        Socket socket = new Socket();
        socket.connect(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port), TIMEOUT_MILLIS);
        Peer peer = new Peer(socket);
        peers.add(peer);
        return peer;
    }

    static String joinMessage(int proxyId) {
        return "{\"msg\":\"joined\",\"sidecar\":"
                + proxyId
                + ",\"az\":\"a\",\"share\":21.5,\"standing\":true}\n";
    }

    /** Returns a proxy's stream that has received its full table. */
    Peer joinedStream(int proxyId) throws IOException {
        Peer peer = connect().send(joinMessage(proxyId));
        peer.readUntil("\"full\":true");
        return peer;
    }

    /** Sends a long message without an end. */
    static void sendEndlessMessage(Peer stream) throws IOException {
        try {
            stream.send("{\"msg\":\"ping\",\"pad\":\"" + "x".repeat(600_000));
        } catch (IOException e) {
            // closed before all was sent
        }
    }

    /** Returns the result of a call on the event loop's thread. */
    <T> T onLoop(Callable<T> callable) throws InterruptedException {
        FutureTask<T> task = new FutureTask<>(callable);
        loop.tryExecute(task);
        try {
            return task.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new AssertionError("the call on the event loop failed or timed out", e);
        }
    }

    /** Closes all peers, and checks that no connection, reserved byte or list entry remains. */
    void assertAllResourcesReleased() throws IOException, InterruptedException {
        for (Peer peer : peers) {
            peer.close();
        }
        String summary = "";
        for (int i = 0; i < TIMEOUT_MILLIS / 10; i++) {
            summary = onLoop(listener::resourceSummary);
            if (summary.equals("0 open, 0 bytes, 0 unjoined, 0 rejected, 0 streams")) {
                return;
            }
            Thread.sleep(10);
        }
        throw new AssertionError(summary);
    }

    boolean hasLogged(String text) {
        return logOutput.toString(StandardCharsets.UTF_8).contains(text);
    }

    /** Ends the governor and checks that it holds nothing of the connections any more. */
    @Override
    public void close() throws IOException {
        try {
            assertAllResourcesReleased();
        } catch (InterruptedException e) {
            throw new AssertionError("interrupted while connections end", e);
        } finally {
            closeAll();
        }
    }

    private void closeAll() throws IOException {
        loop.close();
        for (ServerSocket server : servers) {
            server.close();
        }
        for (Peer peer : peers) {
            peer.close();
        }
    }
}
