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
 * An open-loop load generator that sends the requests of a scenario's clients to running proxies.
 * Requests are sent when they are due, even if earlier requests have not been answered. Latencies
 * are measured from the due time, so that the delay by a stall is included completely.
 */
public final class LoadGenerator {
    private static final int TRACE_CAPACITY = 50_000_000;

    /** Time from the latest possible end of a request until the clients are closed. */
    private static final int CLOSE_DELAY_MILLIS = 200;

    private final Scenario scenario;
    private final List<InetSocketAddress> proxies;
    private final double requestsPerSecond;

    /**
     * Creates a generator.
     *
     * @param requestsPerSecond total rate, which is spread evenly over the proxies
     */
    public LoadGenerator(
            Scenario scenario, List<InetSocketAddress> proxies, double requestsPerSecond) {
        this.scenario = scenario;
        this.proxies = proxies;
        this.requestsPerSecond = requestsPerSecond;
    }

    /** Returns the request classes of a scenario in the form that simulated clients use. */
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
     * Sends requests for a time and waits until the last request has ended.
     *
     * @param durationMillis time during which requests are sent
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
        Thread.sleep((long) scenario.maxExpiryMillis() + CLOSE_DELAY_MILLIS);
        loop.close();
        LatencyTable latencies =
                new LatencyTable(
                        scenario.products().stream()
                                .map(Scenario.RequestClassSettings::name)
                                .toList());
        for (TraceEvent event : trace.eventsInTimeOrder()) {
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
