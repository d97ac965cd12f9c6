package sprucelanding.simulation.loopback;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import sprucelanding.runtime.eventloop.EventLoop;

/**
 * The way of datagrams from one governor to another: it can be cut, and loses a share of them. All
 * calls on its loop.
 */
public final class DatagramRelay {
    private final SplittableRandom random;
    private final DatagramChannel channel;
    private double lossShare;

    public DatagramRelay(
            EventLoop loop, InetSocketAddress target, BooleanSupplier isOpen, long seed) {
        this.random = new SplittableRandom(seed);
        this.channel =
                loop.receiveDatagrams(
                        new InetSocketAddress("127.0.0.1", 0),
                        (from, packet) -> {
                            if (isOpen.getAsBoolean() && random.nextDouble() >= lossShare) {
                                forward(packet, target);
                            }
                        });
    }

    private void forward(byte[] packet, InetSocketAddress target) {
        try {
            channel.send(ByteBuffer.wrap(packet), target);
        } catch (IOException e) {
            throw new UncheckedIOException(e); // told by the loop
        }
    }

    public int port() {
        return channel.socket().getLocalPort();
    }

    public void setLossShare(double share) {
        lossShare = share;
    }
}
