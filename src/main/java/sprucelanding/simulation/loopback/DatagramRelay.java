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
 * A relay of datagrams from one governor to another. The network partition can cut the relay, and
 * the relay can drop a share of the datagrams. All calls must be made on the relay's event loop.
 */
public final class DatagramRelay {
    private final SplittableRandom random;
    private final DatagramChannel channel;
    private double lossShare;

    /**
     * Creates a relay that listens on a free port.
     *
     * @param isOpen whether the network lets a datagram through
     * @param seed of the random draws that decide which datagrams are dropped
     */
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
            throw new UncheckedIOException(e); // the event loop logs the exception
        }
    }

    /** Returns the port that the relay receives datagrams on. */
    public int port() {
        return channel.socket().getLocalPort();
    }

    /** Sets the share of the datagrams to drop, from 0 to 1. */
    public void setLossShare(double share) {
        lossShare = share;
    }
}
