package sprucelanding.simulation.loopback;

import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.simulation.model.ProxyTables;

/**
 * The state and settings that the data path and the control channel of a proxy share.
 *
 * @param loop the event loop that runs both
 * @param identity how the proxy identifies itself
 * @param options the behaviour of the proxy
 * @param random the source of endpoint selections, admissions and reconnect delays
 * @param loadReports counts the requests and attempts that the data path observes
 * @param tables supplies the current tables of the proxy
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
     * @param number the number of the proxy in the trace
     * @param name the name of the proxy
     * @param zone the name of the proxy's zone
     * @param expectedRate the requests per second that the proxy expects
     */
    record Identity(int number, String name, String zone, double expectedRate) {}
}
