package sprucelanding.simulation.loopback;

import io.grpc.CallOptions;
import io.grpc.ManagedChannel;
import io.grpc.MethodDescriptor;
import io.grpc.Status;
import io.grpc.stub.ClientCalls;
import io.grpc.stub.StreamObserver;
import java.io.ByteArrayInputStream;
import java.io.InputStream;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import sprucelanding.runtime.eventloop.EventLoop;

/**
 * The keepalive of an xDS connection, which checks whether the governor still answers. The
 * keepalive of the transport has a minimum interval of 10 s, but proxies must detect an
 * unresponsive governor within 3 s. Therefore the keepalive calls a method that no governor
 * implements: a live governor rejects the call. All calls must be made on the proxy's event loop.
 */
final class XdsKeepalive {
    private static final MethodDescriptor.Marshaller<byte[]> BYTE_ARRAY_MARSHALLER =
            new MethodDescriptor.Marshaller<>() {
                @Override
                public InputStream stream(byte[] value) {
                    return new ByteArrayInputStream(value);
                }

                @Override
                public byte[] parse(InputStream stream) {
                    return new byte[0];
                }
            };

    private static final MethodDescriptor<byte[], byte[]> UNIMPLEMENTED_METHOD =
            MethodDescriptor.newBuilder(BYTE_ARRAY_MARSHALLER, BYTE_ARRAY_MARSHALLER)
                    .setType(MethodDescriptor.MethodType.UNARY)
                    .setFullMethodName("standin.Alive/Ask")
                    .build();

    private final EventLoop loop;
    private final ManagedChannel channel;
    private final BooleanSupplier isClosed;
    private final Runnable onUnresponsive;

    /**
     * Creates a keepalive that has not been started.
     *
     * @param isClosed whether the connection is closed, which stops the keepalive
     * @param onUnresponsive runs on the event loop when the governor did not answer in time
     */
    XdsKeepalive(
            EventLoop loop,
            ManagedChannel channel,
            BooleanSupplier isClosed,
            Runnable onUnresponsive) {
        this.loop = loop;
        this.channel = channel;
        this.isClosed = isClosed;
        this.onUnresponsive = onUnresponsive;
    }

    /** Schedules the next keepalive. */
    void scheduleNext() {
        loop.schedule(ControlChannel.KEEPALIVE_INTERVAL_MILLIS, this::send);
    }

    private void send() {
        if (isClosed.getAsBoolean()) {
            return;
        }
        CallOptions options =
                CallOptions.DEFAULT.withDeadlineAfter(
                        (long) ControlChannel.KEEPALIVE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        ClientCalls.asyncUnaryCall(
                channel.newCall(UNIMPLEMENTED_METHOD, options),
                new byte[0],
                new RejectionObserver());
    }

    /** An observer that treats any error other than an expired deadline as an answer. */
    private final class RejectionObserver implements StreamObserver<byte[]> {
        @Override
        public void onNext(byte[] response) {
            // no governor implements the method
        }

        @Override
        public void onError(Throwable error) {
            boolean isTimeout =
                    Status.fromThrowable(error).getCode() == Status.Code.DEADLINE_EXCEEDED;
            loop.tryExecute(isTimeout ? onUnresponsive : XdsKeepalive.this::scheduleNext);
        }

        @Override
        public void onCompleted() {
            // no governor implements the method
        }
    }
}
