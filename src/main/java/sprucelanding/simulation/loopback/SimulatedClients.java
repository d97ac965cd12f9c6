package sprucelanding.simulation.loopback;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.DoubleSupplier;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.runtime.eventloop.HttpParser;
import sprucelanding.runtime.eventloop.TcpConnection;
import sprucelanding.simulation.model.ClientRetryPolicy;
import sprucelanding.simulation.rules.EventTrace;
import sprucelanding.simulation.rules.TraceEvent;

/**
 * The clients of one proxy: an open loop of txns. They try again by themselves, a safe txn after
 * any failure, others only after a refusal, and give up at expiry. All calls on their loop.
 */
public final class SimulatedClients {
    /**
     * A product as clients know it.
     *
     * @param share of all txns
     * @param work mean ms
     * @param sla ms within which an answer is in time
     */
    public record RequestClassSpec(
            String name,
            double share,
            double meanWork,
            double slaMillis,
            double expiryMillis,
            boolean idempotent) {}

    private final class ClientRequest {
        final long id = requestIds.incrementAndGet();
        final int requestClass;
        final String work;
        final double startedAt;
        int attempts;
        boolean ended;
        boolean declined;

        /**
         * It began when it was to begin, even if this loop was late: else waits would be left out
         * of the answer time.
         */
        ClientRequest(int requestClass, double work, double plannedAt) {
            this.requestClass = requestClass;
            this.startedAt = plannedAt;
            this.work = String.format(Locale.ROOT, "%.2f", work);
            trace.record(new TraceEvent.RequestArrived(startedAt, proxy, requestClass, id, work));
        }

        void send() {
            attempts++;
            RequestClassSpec spec = requestClasses.get(requestClass);
            double remainingMillis = spec.expiryMillis - (EventLoop.nowMillis() - startedAt);
            if (remainingMillis <= 1) {
                complete(
                        declined
                                ? TraceEvent.RequestOutcome.DECLINED
                                : TraceEvent.RequestOutcome.VOIDED);
                return;
            }
            ProxyConnection connection =
                    idleConnections.isEmpty() ? new ProxyConnection() : idleConnections.pop();
            connection.request = this;
            byte[] request =
                    HttpParser.request(
                            "POST",
                            "/" + spec.name,
                            "x-txn",
                            Long.toString(id),
                            "x-work",
                            work,
                            "x-left",
                            String.format(
                                    Locale.ROOT,
                                    "%.1f",
                                    Math.min(
                                            remainingMillis,
                                            attemptTimeoutShare * spec.expiryMillis)));
            if (connection.connection == null) {
                connection.connection = loop.connect(proxyAddress, null, 65_536, connection);
            }
            connection.connection.write(request);
            loop.schedule(
                    remainingMillis,
                    () -> {
                        if (!ended) {
                            complete(TraceEvent.RequestOutcome.VOIDED);
                        }
                    });
        }

        void onResponse(int status, boolean notExecuted) {
            if (ended) {
                return;
            }
            RequestClassSpec spec = requestClasses.get(requestClass);
            double elapsedMillis = EventLoop.nowMillis() - startedAt;
            if (status == 200) {
                complete(
                        elapsedMillis <= spec.slaMillis
                                ? TraceEvent.RequestOutcome.IN_TIME
                                : TraceEvent.RequestOutcome.LATE);
                return;
            }
            declined = status == 503;
            if (retryPolicy.shouldRetry(
                    attempts, spec.idempotent, notExecuted, elapsedMillis, spec.expiryMillis)) {
                loop.schedule(retryPolicy.delayMillis(random.nextDouble()), this::send);
            } else {
                complete(
                        declined
                                ? TraceEvent.RequestOutcome.DECLINED
                                : TraceEvent.RequestOutcome.VOIDED);
            }
        }

        private void complete(TraceEvent.RequestOutcome outcome) {
            if (!ended) {
                ended = true;
                trace.record(
                        new TraceEvent.RequestEnded(
                                EventLoop.nowMillis(),
                                requestClass,
                                id,
                                outcome,
                                EventLoop.nowMillis() - startedAt));
            }
        }
    }

    private final class ProxyConnection implements TcpConnection.Listener {
        TcpConnection connection;
        ClientRequest request;
        final HttpParser parser = new HttpParser(this::onResponse);

        @Override
        public void onReceived(TcpConnection connection, ByteBuffer input) throws IOException {
            parser.parse(input);
        }

        private void onResponse(HttpParser.Message message) {
            ClientRequest finishedRequest = request;
            request = null;
            idleConnections.push(this);
            if (finishedRequest != null) {
                finishedRequest.onResponse(
                        message.status(), message.headers().containsKey("x-unrun"));
            }
        }

        @Override
        public void onClosed(TcpConnection connection, String reason) {
            idleConnections.remove(this);
            ClientRequest finishedRequest = request;
            request = null;
            if (finishedRequest != null) {
                finishedRequest.onResponse(0, false);
            }
        }
    }

    private final EventLoop loop;
    private final int proxy;
    private final InetSocketAddress proxyAddress;
    private final List<RequestClassSpec> requestClasses;
    private final DoubleSupplier requestsPerSecond;
    private final ClientRetryPolicy retryPolicy;
    private final double attemptTimeoutShare;
    private final AtomicLong requestIds;
    private final EventTrace trace;
    private final SplittableRandom random;
    private final ArrayDeque<ProxyConnection> idleConnections = new ArrayDeque<>();
    private boolean stopped;

    /**
     * @param proxy the number of the proxy whose clients these are
     * @param rate txns a second, asked anew for each
     * @param tryShare share of expiry after which a try is given up
     */
    public SimulatedClients(
            EventLoop loop,
            int proxy,
            InetSocketAddress proxyAddress,
            List<RequestClassSpec> requestClasses,
            DoubleSupplier requestsPerSecond,
            ClientRetryPolicy retryPolicy,
            double attemptTimeoutShare,
            AtomicLong requestIds,
            EventTrace trace,
            long seed) {
        this.loop = loop;
        this.proxy = proxy;
        this.proxyAddress = proxyAddress;
        this.requestClasses = requestClasses;
        this.requestsPerSecond = requestsPerSecond;
        this.retryPolicy = retryPolicy;
        this.attemptTimeoutShare = attemptTimeoutShare;
        this.requestIds = requestIds;
        this.trace = trace;
        this.random = new SplittableRandom(seed);
    }

    public void start() {
        scheduleNext(EventLoop.nowMillis());
    }

    private void scheduleNext(double afterMillis) {
        double gap =
                -Math.log(1 - random.nextDouble())
                        / Math.max(1e-6, requestsPerSecond.getAsDouble())
                        * 1000;
        double nextAt = afterMillis + Math.min(gap, 1000);
        loop.scheduleAt(
                nextAt,
                () -> {
                    if (!stopped) {
                        if (gap <= 1000) {
                            arrive(nextAt);
                        }
                        scheduleNext(nextAt);
                    }
                });
    }

    public void stop() {
        stopped = true;
    }

    private void arrive(double plannedAt) {
        double draw = random.nextDouble();
        int requestClass = 0;
        while (requestClass < requestClasses.size() - 1
                && draw >= requestClasses.get(requestClass).share) {
            draw -= requestClasses.get(requestClass++).share;
        }
        double work =
                -Math.log(1 - random.nextDouble()) * requestClasses.get(requestClass).meanWork;
        new ClientRequest(
                        requestClass,
                        Math.min(work, 10 * requestClasses.get(requestClass).meanWork),
                        plannedAt)
                .send();
    }
}
