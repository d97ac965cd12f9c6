package sprucelanding.simulation.loopback;

import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.simulation.model.ProxyTables;

/**
 * What the data path and the control channel of a proxy share.
 *
 * @param loop runs both
 * @param identity how the proxy identifies itself
 * @param options how it behaves
 * @param random of its picks, admissions and reconnect delays
 * @param loadReports counts what the data path observes
 * @param tables its current tables
 */
record ProxyContext(
        EventLoop loop,
        Identity identity,
        SimulatedProxy.ProxyOptions options,
        SplittableRandom random,
        LoadReportClient loadReports,
        Supplier<ProxyTables<InetSocketAddress>> tables) {
    /**
     * How a proxy identifies itself.
     *
     * @param number its number in the trace
     * @param name its name
     * @param zone the name of its zone
     * @param expectedRate requests per second that it expects
     */
    record Identity(int number, String name, String zone, double expectedRate) {}
}
