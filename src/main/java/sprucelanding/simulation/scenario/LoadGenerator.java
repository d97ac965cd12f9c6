package sprucelanding.simulation.scenario;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.simulation.loopback.SimulatedClients;
import sprucelanding.simulation.rules.EventTrace;
import sprucelanding.simulation.rules.TraceEvent;

/**
 * Clients of a script against proxies that run already: an open loop, whose txns come when they are
 * planned, however slow the answers are. Answer times count from the plan, so that what a stall
 * holds up is not left out.
 */
public final class LoadGenerator {
    private static final int TRACE_CAPACITY = 50_000_000;
    private static final long MAX_LATENCY_MICROS = 3_600_000_000L;

    private final Scenario scenario;
    private final List<InetSocketAddress> proxies;
    private final double requestsPerSecond;

    /**
     * @param txns a second in all, spread evenly over the proxies
     */
    public LoadGenerator(
            Scenario scenario, List<InetSocketAddress> proxies, double requestsPerSecond) {
        this.scenario = scenario;
        this.proxies = proxies;
        this.requestsPerSecond = requestsPerSecond;
    }

    /** A script's products as clients know them. */
    static List<SimulatedClients.RequestClassSpec> requestClasses(Scenario scenario) {
        return scenario.products().stream()
                .map(
                        requestClass ->
                                new SimulatedClients.RequestClassSpec(
                                        requestClass.name(),
                                        requestClass.part(),
                                        requestClass.work(),
                                        requestClass.sla(),
                                        requestClass.expiry(),
                                        requestClass.retry().equals("safe")))
                .toList();
    }

    /** Runs for so many ms, and until the last txn has ended; a table with us by product. */
    public List<Histogram> run(double durationMillis, StringBuilder table)
            throws InterruptedException {
        EventTrace trace = new EventTrace(TRACE_CAPACITY);
        EventLoop loop = EventLoop.start("load");
        AtomicLong ids = new AtomicLong();
        List<SimulatedClients.RequestClassSpec> requestClasses = requestClasses(scenario);
        List<SimulatedClients> clients = new ArrayList<>();
        for (int i = 0; i < proxies.size(); i++) {
            clients.add(
                    new SimulatedClients(
                            loop,
                            i,
                            proxies.get(i),
                            requestClasses,
                            () -> requestsPerSecond / proxies.size(),
                            scenario.clients().retryPolicy(),
                            scenario.clients().tryShare(),
                            ids,
                            trace,
                            scenario.seed() * 3000 + i));
        }
        clients.forEach(client -> loop.tryExecute(client::start));
        Thread.sleep((long) durationMillis);
        clients.forEach(client -> loop.tryExecute(client::stop));
        Thread.sleep(
                (long)
                                scenario.products().stream()
                                        .mapToDouble(Scenario.RequestClassSettings::expiry)
                                        .max()
                                        .orElse(0)
                        + 200);
        loop.close();
        List<Histogram> latencies = new ArrayList<>();
        long[][] outcomeCounts =
                new long[requestClasses.size()][TraceEvent.RequestOutcome.values().length];
        requestClasses.forEach(requestClass -> latencies.add(new Histogram(MAX_LATENCY_MICROS, 3)));
        trace.inOrder()
                .forEach(
                        event -> {
                            if (event instanceof TraceEvent.RequestEnded ended) {
                                outcomeCounts[ended.requestClass()][ended.outcome().ordinal()]++;
                                if (ended.outcome().ordinal()
                                        <= TraceEvent.RequestOutcome.LATE.ordinal()) {
                                    latencies
                                            .get(ended.requestClass())
                                            .recordValue((long) (ended.latencyMillis() * 1000));
                                }
                            }
                        });
        table.append(
                String.format(
                        Locale.ROOT,
                        "%-14s %9s %9s %9s %9s %9s   %8s %8s %8s %8s %8s%n",
                        "product",
                        "txns",
                        "in time",
                        "late",
                        "declined",
                        "voided",
                        "p50 ms",
                        "p90",
                        "p99",
                        "p99.9",
                        "most"));
        for (int requestClassIndex = 0;
                requestClassIndex < requestClasses.size();
                requestClassIndex++) {
            long total = java.util.stream.LongStream.of(outcomeCounts[requestClassIndex]).sum();
            Histogram latency = latencies.get(requestClassIndex);
            table.append(
                    String.format(
                            Locale.ROOT,
                            "%-14s %9d %9d %9d %9d %9d   %8.1f %8.1f %8.1f %8.1f %8.1f%n",
                            requestClasses.get(requestClassIndex).name(),
                            total,
                            outcomeCounts[requestClassIndex][0],
                            outcomeCounts[requestClassIndex][1],
                            outcomeCounts[requestClassIndex][2],
                            outcomeCounts[requestClassIndex][3],
                            latency.getValueAtPercentile(50) / 1000.0,
                            latency.getValueAtPercentile(90) / 1000.0,
                            latency.getValueAtPercentile(99) / 1000.0,
                            latency.getValueAtPercentile(99.9) / 1000.0,
                            latency.getMaxValue() / 1000.0));
        }
        return latencies;
    }
}
