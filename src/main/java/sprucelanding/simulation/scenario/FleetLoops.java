package sprucelanding.simulation.scenario;

import io.grpc.netty.shaded.io.netty.channel.nio.NioEventLoopGroup;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import sprucelanding.runtime.eventloop.EventLoop;

/**
 * The threads of a fleet on loopback. Discovery, clients and relays have one event loop each.
 * Endpoints and proxies have two event loops each. The transport of xDS streams has two threads.
 */
final class FleetLoops implements AutoCloseable {
    private static final int STEP_TIMEOUT_SECONDS = 10;
    private static final int TRANSPORT_THREADS = 2;

    private final EventLoop discoveryLoop = EventLoop.start("roster");
    private final List<EventLoop> endpointLoops =
            List.of(EventLoop.start("replicas-0"), EventLoop.start("replicas-1"));
    private final List<EventLoop> proxyLoops =
            List.of(EventLoop.start("proxies-0"), EventLoop.start("proxies-1"));
    private final EventLoop clientLoop = EventLoop.start("clients");
    private final EventLoop relayLoop = EventLoop.start("relays");
    private final NioEventLoopGroup transport = new NioEventLoopGroup(TRANSPORT_THREADS);

    /** Returns the loop of discovery, which also runs the actions of faults. */
    EventLoop discovery() {
        return discoveryLoop;
    }

    /** Returns the loop of an endpoint, given the position of the endpoint. */
    EventLoop endpoint(int position) {
        return endpointLoops.get(position % endpointLoops.size());
    }

    /** Returns the loop of a proxy and of its NETCONF device, given the position of the proxy. */
    EventLoop proxy(int position) {
        return proxyLoops.get(position % proxyLoops.size());
    }

    EventLoop clients() {
        return clientLoop;
    }

    EventLoop relays() {
        return relayLoop;
    }

    NioEventLoopGroup transport() {
        return transport;
    }

    /**
     * Runs a step on a loop and waits for the end of the step.
     *
     * @throws IllegalStateException if the step fails or takes longer than 10 s
     */
    static void runOn(EventLoop loop, Runnable step) throws InterruptedException {
        callOn(
                loop,
                () -> {
                    step.run();
                    return true;
                });
    }

    /**
     * Calls a step on a loop and waits for the result of the step.
     *
     * @throws IllegalStateException if the step fails or takes longer than 10 s
     */
    static <T> T callOn(EventLoop loop, Supplier<T> step) throws InterruptedException {
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.tryExecute(
                () -> {
                    try {
                        done.complete(step.get());
                    } catch (RuntimeException e) {
                        done.completeExceptionally(e);
                    }
                });
        try {
            return done.get(STEP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException(
                    "step on an event loop of the simulated fleet failed or took longer than "
                            + STEP_TIMEOUT_SECONDS
                            + " s",
                    e);
        }
    }

    @Override
    public void close() {
        discoveryLoop.close();
        endpointLoops.forEach(EventLoop::close);
        proxyLoops.forEach(EventLoop::close);
        clientLoop.close();
        relayLoop.close();
        transport.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
