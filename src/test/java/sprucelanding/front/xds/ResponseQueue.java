package sprucelanding.front.xds;

import io.grpc.stub.StreamObserver;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Collects the responses of a stream; its end is ignored. */
final class ResponseQueue<T> implements StreamObserver<T> {
    private final BlockingQueue<T> responses = new LinkedBlockingQueue<>();

    /** The next response; null if none comes in time. */
    T poll(long timeout, TimeUnit unit) throws InterruptedException {
        return responses.poll(timeout, unit);
    }

    @Override
    public void onNext(T response) {
        responses.add(response);
    }

    @Override
    public void onError(Throwable error) {}

    @Override
    public void onCompleted() {}
}
