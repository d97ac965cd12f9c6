package sprucelanding.simulation.scenario;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.simulation.loopback.SimulatedClients;
import sprucelanding.simulation.rules.EventTrace;
import sprucelanding.simulation.rules.TraceEvent;

/**
 * Sends the requests of a scenario's clients to proxies that run already. It is an open loop:
 * requests are sent when they are due, however slow the answers are, and latencies count from the
 * due time, so that requests delayed by a stall count in full.
 */
public final class LoadGenerator {
    private static final int TRACE_CAPACITY = 50_000_000;

    /** From the latest end of a request until the clients are closed. */
    private static final int FINAL_MILLIS = 200;

    private final Scenario scenario;
    private final List<InetSocketAddress> proxies;
    private final double requestsPerSecond;

    /**
     * Creates a generator.
     *
     * @param requestsPerSecond rate in all, spread evenly over the proxies
     */
    public LoadGenerator(
            Scenario scenario, List<InetSocketAddress> proxies, double requestsPerSecond) {
        this.scenario = scenario;
        this.proxies = proxies;
        this.requestsPerSecond = requestsPerSecond;
    }

    /** Returns the request classes of a scenario as clients know them. */
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
                                        requestClass.isIdempotent()))
                .toList();
    }

    /**
     * Sends requests for some time and waits until the last one has ended.
     *
     * @param table receives a table of outcomes and latencies by request class
     * @return latencies in microseconds by request class
     */
    public List<Histogram> run(double durationMillis, StringBuilder table)
            throws InterruptedException {
        EventTrace trace = new EventTrace(TRACE_CAPACITY);
        EventLoop loop = EventLoop.start("load");
        List<SimulatedClients> clients = createClients(loop, trace);
        clients.forEach(client -> loop.tryExecute(client::start));
        Thread.sleep((long) durationMillis);
        clients.forEach(client -> loop.tryExecute(client::stop));
        Thread.sleep((long) scenario.maxExpiryMillis() + FINAL_MILLIS);
        loop.close();
        LatencyTable latencies =
                new LatencyTable(
                        scenario.products().stream()
                                .map(Scenario.RequestClassSettings::name)
                                .toList());
        for (TraceEvent event : trace.inOrder()) {
            if (event instanceof TraceEvent.RequestEnded ended) {
                latencies.add(ended);
            }
        }
        latencies.appendTo(table);
        return latencies.latencies();
    }

    private List<SimulatedClients> createClients(EventLoop loop, EventTrace trace) {
        AtomicLong requestIds = new AtomicLong();
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
                            requestIds,
                            trace,
                            scenario.seed() * 3000 + i));
        }
        return clients;
    }
}
