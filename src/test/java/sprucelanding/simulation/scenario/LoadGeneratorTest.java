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

/** A proxy that stalls: all that was to come meanwhile waits, and its wait counts. */
class LoadGeneratorTest {
    @Test
    @Timeout(30)
    void latencyCountsEveryRequestDueDuringAStall() throws Exception {
        EventLoop loop = EventLoop.start("proxy");
        double[] stallEnds = {0};
        int port =
                loop.localPort(
                        loop.listen(
                                new InetSocketAddress("127.0.0.1", 0),
                                64,
                                channel ->
                                        loop.register(
                                                channel,
                                                65_536,
                                                new TcpConnection.Listener() {
                                                    private TcpConnection own;
                                                    private final HttpParser http =
                                                            new HttpParser(
                                                                    request ->
                                                                            loop.scheduleAt(
                                                                                    stallEnds[0],
                                                                                    () ->
                                                                                            own
                                                                                                    .write(
                                                                                                            HttpParser
                                                                                                                    .response(
                                                                                                                            200))));

                                                    @Override
                                                    public void onReceived(
                                                            TcpConnection connection,
                                                            ByteBuffer input)
                                                            throws IOException {
                                                        own = connection;
                                                        http.parse(input);
                                                    }

                                                    @Override
                                                    public void onClosed(
                                                            TcpConnection connection,
                                                            String reason) {}
                                                })));
        double startedAt = EventLoop.nowMillis();
        loop.tryExecute(
                () ->
                        loop.scheduleAt(
                                startedAt + 500,
                                () -> stallEnds[0] = EventLoop.nowMillis() + 1000));
        Scenario scenario =
                Records.parse(
                        "load",
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
                """,
                        Scenario.SCHEMA,
                        Scenario.DEFINITION,
                        Scenario.class);
        StringBuilder table = new StringBuilder();
        Histogram latencies =
                new LoadGenerator(scenario, List.of(new InetSocketAddress("127.0.0.1", port)), 200)
                        .run(2000, table)
                        .get(0);
        loop.close();
        long stalled = latencies.getTotalCount() - latencies.getCountBetweenValues(0, 100_000);
        // 200 a second come in a second of stall; those of its last tenth wait for less than 100 ms
        assertTrue(stalled > 120, table + "stalled: " + stalled);
        assertTrue(latencies.getMaxValue() > 800_000, table.toString());
    }
}
