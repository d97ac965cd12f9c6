package sprucelanding.runtime.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class GovernorServerTest {
    @TempDir Path folder;

    @Test
    void joiningProxyReceivesTheFullTableOfTheLastKnownList() throws IOException {
        try (ServerHarness harness = new ServerHarness(folder)) {
            String line = harness.connect().send(ServerHarness.joinMessage(17)).readUntil("full");
            for (String part :
                    List.of(
                            "[\"s-1\",200]",
                            "[\"s-2\",200]",
                            "[\"s-3\",200]",
                            "\"admit\":1",
                            "\"policy\":0",
                            "\"nonce_out\":")) {
                assertTrue(line.contains(part), part + " in " + line);
            }
        }
    }

    @Test
    void fragmentedAndBatchedMessagesAreParsed() throws IOException {
        try (ServerHarness harness = new ServerHarness(folder)) {
            ServerHarness.Peer peer = harness.connect();
            for (String piece : ServerHarness.joinMessage(3).split("(?<=:)")) {
                peer.send(piece);
            }
            assertNotNull(peer.readUntil("full"));
            peer.send(
                    "{\"msg\":\"usage\",\"sidecar\":3,\"kind\":\"read\",\"n\":19,\"bad\":0,\"window\":1000.0}\n"
                            + "{\"msg\":\"ping\"}\n"
                            + "{\"msg\":\"ping\"}\n");
            assertEquals("{\"msg\":\"pong\"}", peer.readUntil("pong"));
            assertEquals("{\"msg\":\"pong\"}", peer.readUntil("pong"));
        }
    }

    @Test
    void newestStreamOfAProxySupersedesTheOlder() throws IOException, InterruptedException {
        try (ServerHarness harness = new ServerHarness(folder)) {
            ServerHarness.Peer old = harness.joinedStream(5);
            ServerHarness.Peer newer = harness.joinedStream(5);
            assertNull(old.readLine());
            old.close();
            ServerHarness.Peer watch = harness.nextWatch("index=41");
            watch.send(
                    ServerHarness.chunk(
                            ServerHarness.list(42, false, ServerHarness.entry("s-2", "draining"))));
            assertTrue(newer.readUntil("s-2").contains("s-2"));
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "noise\n",
                "GET / HTTP/1.1\r\nHost: l\r\n\r\n",
                "{\"msg\":\"update\",\"eject\":[\"s-1\"]}\n",
                "[1]\n",
                "{}\n",
                "{\"msg\":\"usage\",\"sidecar\":3,\"kind\":\"read\",\"n\":19,\"bad\":0,\"window\":1000.0}\n",
                "{\"msg\":\"joined\",\"sidecar\":60,\"az\":\"a\",\"share\":21.5,\"standing\":true}\n",
                "{\"msg\":\"joined\",\"sidecar\":-1,\"az\":\"a\",\"share\":21.5,\"standing\":true}\n",
                "{\"msg\":\"joined\",\"sidecar\":1.5,\"az\":\"a\",\"share\":21.5,\"standing\":true}\n",
                "{\"msg\":\"joined\",\"sidecar\":1,\"az\":\"nowhere\",\"share\":21.5,\"standing\":true}\n",
                "{\"msg\":\"joined\",\"sidecar\":1,\"az\":\"a\",\"share\":\"much\",\"standing\":true}\n",
                "{\"msg\":\"joined\",\"sidecar\":1,\"az\":\"a\",\"share\":21.5}\n",
                "{\"msg\":\"collector\",\"az\":\"nowhere\"}\n",
                "{\"msg\":\"collector\"}\n",
                "{\"msg\":\"joined\",\"sidecar\":1,",
                ""
            })
    void connectionThatDoesNotJoinIsRejected(String input) throws IOException {
        try (ServerHarness harness = new ServerHarness(folder)) {
            ServerHarness.Peer peer = harness.connect().send(input);
            assertTrue(peer.isRejected());
            harness.joinedStream(1);
        }
    }

    @Test
    void connectionThatOnlyPingsIsRejected() throws IOException {
        try (ServerHarness harness = new ServerHarness(folder)) {
            ServerHarness.Peer peer = harness.connect().send("{\"msg\":\"ping\"}\n");
            assertEquals("{\"msg\":\"pong\"}", peer.readLine());
            assertTrue(peer.isRejected());
        }
    }

    @Test
    void unterminatedFirstMessageIsRejected() throws IOException {
        try (ServerHarness harness = new ServerHarness(folder)) {
            ServerHarness.Peer peer = harness.connect();
            try {
                for (int i = 0; i < 10_000; i++) {
                    peer.send("{\"msg\":\"joined\",".repeat(20));
                }
            } catch (IOException e) {
                // rejected before everything was sent
            }
            assertTrue(peer.isRejected());
        }
    }

    @Test
    void deeplyNestedJsonIsRejected() throws IOException {
        try (ServerHarness harness = new ServerHarness(folder)) {
            assertTrue(harness.connect().send("[".repeat(4000) + "\n").isRejected());
            ServerHarness.Peer stream = harness.joinedStream(1);
            stream.send("{\"msg\":" + "[".repeat(500_000) + "\n");
            assertNull(stream.readLine());
            harness.joinedStream(1);
        }
    }

    @Test
    void oldestUnjoinedConnectionIsDroppedWhenDescriptorsRunOut() throws IOException {
        try (ServerHarness harness = new ServerHarness(folder, 60)) {
            List<ServerHarness.Peer> idle = new ArrayList<>();
            for (int i = 0; i < 120; i++) {
                idle.add(harness.connect());
            }
            harness.joinedStream(7);
            for (ServerHarness.Peer peer : idle) {
                assertTrue(peer.isRejected());
            }
            harness.joinedStream(8);
        }
    }

    @Test
    void malformedMessageIsDroppedWithoutAffectingOthers() throws IOException {
        try (ServerHarness harness = new ServerHarness(folder)) {
            ServerHarness.Peer peer = harness.joinedStream(2);
            for (String malformed :
                    List.of(
                            "{\"msg\":\"usage\",\"sidecar\":2,\"kind\":\"read\",\"n\":-4,\"bad\":0,\"window\":1000.0}",
                            "{\"msg\":\"usage\",\"sidecar\":2,\"kind\":\"none\",\"n\":4,\"bad\":0,\"window\":1000.0}",
                            "{\"msg\":\"usage\",\"sidecar\":3,\"kind\":\"read\",\"n\":4,\"bad\":0,\"window\":1000.0}",
                            "{\"msg\":\"usage\",\"sidecar\":2,\"kind\":\"read\",\"n\":4,\"bad\":0,\"window\":0}",
                            "{\"msg\":\"applied\",\"sidecar\":2,\"version\":\"9\",\"lag_ms\":3}",
                            "{\"msg\":\"applied\",\"sidecar\":2,\"version\":59999,\"lag_ms\":3}",
                            "{\"msg\":7}",
                            "{}",
                            "{\"msg\":\"heard\",\"az\":\"a\",\"host\":\"s-1\",\"n\":2,\"bad\":0,\"avg\":4,\"window\":1000}")) {
                peer.send(malformed + "\n{\"msg\":\"ping\"}\n");
                assertNotNull(peer.readUntil("pong"), malformed);
            }
            ServerHarness.Peer collector =
                    harness.connect().send("{\"msg\":\"collector\",\"az\":\"b\"}\n");
            for (String malformed :
                    List.of(
                            "{\"msg\":\"heard\",\"az\":\"b\",\"host\":\"s-9\",\"n\":2,\"bad\":0,\"avg\":4,\"window\":1000}",
                            "{\"msg\":\"heard\",\"az\":\"b\",\"host\":\"s-1\",\"n\":2,\"bad\":3,\"avg\":4,\"window\":1000}",
                            "{\"msg\":\"heard\",\"az\":\"b\",\"host\":\"s-1\",\"n\":2,\"bad\":0,\"avg\":-4,\"window\":1000}",
                            "{\"msg\":\"heard\",\"az\":\"b\",\"host\":\"s-1\",\"n\":1e300,\"bad\":0,\"avg\":4,\"window\":1000}",
                            "{\"msg\":\"heard\",\"az\":null,\"host\":\"s-1\",\"n\":2,\"bad\":0,\"avg\":4,\"window\":1000}",
                            "{\"msg\":\"heard\",\"az\":\"b\",\"host\":\"s-1\",\"n\":2,\"bad\":0,\"avg\":4,\"window\":1000,\"report\":\"x\"}")) {
                collector.send(malformed + "\n{\"msg\":\"ping\"}\n");
                assertNotNull(collector.readUntil("pong"), malformed);
            }
        }
    }

    @Test
    void totalSizeOfUnfinishedMessagesIsBounded() throws IOException {
        try (ServerHarness harness = new ServerHarness(folder)) {
            ServerHarness.Peer healthy = harness.joinedStream(59);
            List<ServerHarness.Peer> streams = new ArrayList<>();
            for (int proxy = 0; proxy < 12; proxy++) {
                ServerHarness.Peer peer = harness.joinedStream(proxy);
                streams.add(peer);
                ServerHarness.sendEndlessMessage(peer);
            }
            int survivors = 0;
            for (ServerHarness.Peer stream : streams) {
                try {
                    stream.send("\"}\n");
                } catch (IOException e) {
                    // closed before
                }
                String line = stream.readLine();
                survivors += line != null && line.contains("pong") ? 1 : 0;
            }
            assertTrue(
                    survivors > 0 && survivors < 12, survivors + " of 12 streams are still open");
            healthy.send("{\"msg\":\"ping\"}\n");
            assertNotNull(healthy.readUntil("pong"));
        }
    }

    @Test
    void streamThatDoesNotAcknowledgeIsClosed() throws IOException {
        try (ServerHarness harness = new ServerHarness(folder)) {
            ServerHarness.Peer unresponsive = harness.joinedStream(4);
            while (unresponsive.readLine() != null) {
                continue;
            }
            assertTrue(harness.hasLogged("event=governor_started name=\"n0\" address=/127.0.0.1:"));
        }
    }

    @Test
    void unreadableBytesCloseTheStream() throws IOException {
        try (ServerHarness harness = new ServerHarness(folder)) {
            ServerHarness.Peer peer = harness.joinedStream(2);
            peer.send("\u0001\u0002{{{\n");
            assertNull(peer.readLine());
            harness.joinedStream(2);
        }
    }

    @Test
    void watchResumesFromTheLastRevision() throws IOException, InterruptedException {
        try (ServerHarness harness = new ServerHarness(folder)) {
            ServerHarness.Peer stream = harness.joinedStream(1);
            ServerHarness.Peer watch = harness.nextWatch("index=41");
            String change =
                    ServerHarness.chunk(
                            ServerHarness.list(42, false, ServerHarness.entry("s-1", "draining")));
            for (String piece : change.split("(?<=,)")) {
                watch.send(piece);
            }
            assertTrue(stream.readUntil("s-1").contains("[\"s-1\",0]"));
            watch.send(
                    ServerHarness.chunk("{\"rev\":43,\"all\":false,\"targets\":[{\"uid\":\"s-2\",")
                            .substring(0, 20));
            watch.close();
            watch = harness.nextWatch("index=42");
            watch.send(
                    ServerHarness.chunk(
                            ServerHarness.list(50, true, ServerHarness.entry("s-3", "ready"))));
            assertTrue(stream.readUntil("[\"s-2\",0]").contains("s-2"));
        }
    }

    @Test
    void silentWatchIsReconnected() throws IOException, InterruptedException {
        try (ServerHarness harness = new ServerHarness(folder)) {
            ServerHarness.Peer first = harness.nextWatch("index=41");
            first.send(ServerHarness.chunk(""));
            harness.nextWatch("index=41");
            assertNull(first.readLine());
        }
    }

    @Test
    void partlyMalformedListKeepsKnownEndpointsAndIsRequestedAgain()
            throws IOException, InterruptedException {
        try (ServerHarness harness = new ServerHarness(folder)) {
            ServerHarness.Peer stream = harness.joinedStream(1);
            ServerHarness.Peer watch = harness.nextWatch("index=41");
            watch.send(
                    ServerHarness.chunk(
                            ServerHarness.list(
                                    42,
                                    true,
                                    ServerHarness.entry("s-1", "draining"),
                                    "{\"uid\":\"s-2\",\"endpoint\":7}")));
            assertTrue(stream.readUntil("s-1").contains("[\"s-1\",0]"));
            watch = harness.nextWatch("?stream=1 HTTP");
            watch.send(ServerHarness.chunk("{\"rev\":\"x\"}"));
            watch = harness.nextWatch("?stream=1 HTTP");
            ServerHarness.Peer other = harness.connect().send(ServerHarness.joinMessage(2));
            String table = other.readUntil("full");
            assertTrue(table.contains("s-2") && table.contains("s-3"), table);
            watch.send(
                    ServerHarness.chunk(
                            ServerHarness.list(
                                    43,
                                    true,
                                    ServerHarness.entry("s-1", "draining"),
                                    ServerHarness.entry("s-3", "ready"))));
            assertTrue(stream.readUntil("[\"s-2\",0]").contains("s-2"));
        }
    }

    @Test
    void reloadedConfigMovesDiscoveryAndAnInvalidOneIsIgnored()
            throws IOException, InterruptedException {
        try (ServerHarness harness = new ServerHarness(folder)) {
            ServerHarness.Peer stream = harness.joinedStream(1);
            ServerHarness.Peer first = harness.nextWatch("index=41");
            harness.writeConfig("{\"discovery\":".getBytes(StandardCharsets.UTF_8));
            harness.reloadConfig();
            first.send(
                    ServerHarness.chunk(
                            ServerHarness.list(42, false, ServerHarness.entry("s-1", "draining"))));
            assertTrue(stream.readUntil("s-1").contains("[\"s-1\",0]"));
            assertTrue(harness.hasLogged("event=config_reload_failed reason="));
            String moved = harness.startDiscovery();
            harness.writeConfig(moved);
            harness.reloadConfig();
            ServerHarness.Peer second =
                    harness.nextWatch(
                            moved.substring(moved.indexOf(':') + 1)
                                    + " GET /v1/endpoints?stream=1&index=42");
            assertNull(first.readLine());
            second.send(
                    ServerHarness.chunk(
                            ServerHarness.list(43, false, ServerHarness.entry("s-2", "draining"))));
            assertTrue(stream.readUntil("s-2").contains("[\"s-2\",0]"));
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{}",
                "{\"listen\":\"nowhere\",\"settings\":{}}",
                "[",
                "{\"listen\":\"127.0.0.1:1\",\"settings\":{\"classes\":[{\"name\":\"a\"}]}}"
            })
    void invalidConfigStopsTheStartWithOneLine(String config) throws IOException {
        Path file = Files.writeString(folder.resolve("p.json"), config);
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        assertEquals(
                2,
                GovernorServer.run(
                        Map.of("NODE_CONFIG", file.toString()),
                        new PrintStream(output, true, StandardCharsets.UTF_8)));
        assertEquals(
                1,
                output.toString(StandardCharsets.UTF_8).lines().count(),
                output.toString(StandardCharsets.UTF_8));
    }
}
