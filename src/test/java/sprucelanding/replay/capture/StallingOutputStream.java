package sprucelanding.replay.capture;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;

/** A disk that accepts some writes, then none until it is resumed. */
final class StallingOutputStream extends OutputStream {
    private final ByteArrayOutputStream file = new ByteArrayOutputStream();
    private final CountDownLatch resumed = new CountDownLatch(1);
    private final Semaphore flushes = new Semaphore(0);
    private final int writesBeforeStall;
    private int writes;

    StallingOutputStream(int writesBeforeStall) {
        this.writesBeforeStall = writesBeforeStall;
    }

    void resume() {
        resumed.countDown();
    }

    void awaitFlushes(int count) throws InterruptedException {
        flushes.acquire(count);
    }

    byte[] toByteArray() {
        return file.toByteArray();
    }

    @Override
    public void write(int singleByte) {
        throw new AssertionError("byte by byte");
    }

    @Override
    public void write(byte[] bytes) throws IOException {
        if (writes++ >= writesBeforeStall) {
            try {
                resumed.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }
        file.write(bytes);
    }

    @Override
    public void flush() {
        flushes.release();
    }
}
