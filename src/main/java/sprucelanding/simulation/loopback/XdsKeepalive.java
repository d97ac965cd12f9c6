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
 * Checks whether a governor still answers. The transport's own keepalive is no faster than 10 s,
 * but proxies are to notice a silent governor within three: so this calls a method that nobody
 * serves, which a governor that is alive rejects.
 */
final class XdsKeepalive {
    private static final MethodDescriptor.Marshaller<byte[]> BYTES =
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

    private static final MethodDescriptor<byte[], byte[]> METHOD =
            MethodDescriptor.newBuilder(BYTES, BYTES)
                    .setType(MethodDescriptor.MethodType.UNARY)
                    .setFullMethodName("standin.Alive/Ask")
                    .build();

    private final EventLoop loop;
    private final ManagedChannel channel;
    private final BooleanSupplier isClosed;
    private final Runnable onSilent;

    /**
     * Creates a keepalive that has not been started.
     *
     * @param isClosed whether to stop
     * @param onSilent runs on the loop when the governor did not answer in time
     */
    XdsKeepalive(
            EventLoop loop, ManagedChannel channel, BooleanSupplier isClosed, Runnable onSilent) {
        this.loop = loop;
        this.channel = channel;
        this.isClosed = isClosed;
        this.onSilent = onSilent;
    }

    void scheduleNext() {
        loop.schedule(ControlChannel.KEEPALIVE_MILLIS, this::send);
    }

    private void send() {
        if (isClosed.getAsBoolean()) {
            return;
        }
        CallOptions options =
                CallOptions.DEFAULT.withDeadlineAfter(
                        (long) ControlChannel.KEEPALIVE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        ClientCalls.asyncUnaryCall(
                channel.newCall(METHOD, options), new byte[0], new RejectionObserver());
    }

    private final class RejectionObserver implements StreamObserver<byte[]> {
        @Override
        public void onNext(byte[] none) {
            // nobody serves it
        }

        @Override
        public void onError(Throwable error) {
            boolean silent = Status.fromThrowable(error).getCode() == Status.Code.DEADLINE_EXCEEDED;
            loop.tryExecute(silent ? onSilent : XdsKeepalive.this::scheduleNext);
        }

        @Override
        public void onCompleted() {
            // nobody serves it
        }
    }
}
