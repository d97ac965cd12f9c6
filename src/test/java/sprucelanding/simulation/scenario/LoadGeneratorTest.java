package sprucelanding.simulation.scenario;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import sprucelanding.config.records.Records;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.runtime.eventloop.HttpParser;
import sprucelanding.runtime.eventloop.TcpConnection;

/** A proxy that stalls: all requests that are due meanwhile wait, and their wait counts. */
class LoadGeneratorTest {
    private static final String SCENARIO =
            """
                name: "load"
                lasts: 2s
                zones: ["here"]
                kinds: []
                products: [{name: "read", part: 100%, work: 1ms, sla: 500ms, expiry: 3s, revenue: 1, retry: "safe"}]
                replicas: {count: 1}
                proxies: {count: 1}
                governors: {count: 0}
                clients: {}
                roster: {}
                rules: {}
                txns: 200/s
                troubles: []
                """;

    /** A proxy that answers at once, but for one stall. Used on its loop only. */
    private static final class StallingProxy {
        private final EventLoop loop = EventLoop.start("proxy");
        private double stallEnds;

        int listen() throws IOException {
            return loop.localPort(
                    loop.listen(
                            new InetSocketAddress("127.0.0.1", 0),
                            64,
                            channel -> loop.register(channel, 65_536, new ProxyConnection())));
        }

        void scheduleStall(double at, double durationMillis) {
            loop.tryExecute(
                    () ->
                            loop.scheduleAt(
                                    at, () -> stallEnds = EventLoop.nowMillis() + durationMillis));
        }

        private final class ProxyConnection implements TcpConnection.Listener {
            private TcpConnection own;
            private final HttpParser http =
                    new HttpParser(request -> loop.scheduleAt(stallEnds, this::answer));

            private void answer() {
                own.write(HttpParser.response(200));
            }

            @Override
            public void onReceived(TcpConnection connection, ByteBuffer input) throws IOException {
                own = connection;
                http.parse(input);
            }

            @Override
            public void onClosed(TcpConnection connection, String reason) {
                // the generator closes its connections at the end
            }
        }
    }

    @Test
    @Timeout(30)
    void latencyCountsEveryRequestDueDuringAStall() throws Exception {
        StallingProxy proxy = new StallingProxy();
        int port = proxy.listen();
        proxy.scheduleStall(EventLoop.nowMillis() + 500, 1000);
        Scenario scenario =
                Records.parse(
                        "load", SCENARIO, Scenario.SCHEMA, Scenario.DEFINITION, Scenario.class);
        StringBuilder table = new StringBuilder();
        Histogram latencies =
                new LoadGenerator(scenario, List.of(new InetSocketAddress("127.0.0.1", port)), 200)
                        .run(2000, table)
                        .get(0);
        proxy.loop.close();
        long stalled = latencies.getTotalCount() - latencies.getCountBetweenValues(0, 100_000);
        // 200 a second come in a second of stall; those of its last tenth wait for less than 100 ms
        assertTrue(stalled > 120, table + "stalled: " + stalled);
        assertTrue(latencies.getMaxValue() > 800_000, table.toString());
    }
}
