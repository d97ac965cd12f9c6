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
 * Relays datagrams from one governor to another; it can be cut, and can lose a share of them. All
 * calls on its loop.
 */
public final class DatagramRelay {
    private final SplittableRandom random;
    private final DatagramChannel channel;
    private double lossShare;

    /**
     * Creates a relay that listens on a free port.
     *
     * @param isOpen whether the network lets a datagram through
     * @param seed of losses
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
            throw new UncheckedIOException(e); // the loop logs it
        }
    }

    /** The port to send to. */
    public int port() {
        return channel.socket().getLocalPort();
    }

    /** It loses this share of the datagrams, from 0 to 1. */
    public void setLossShare(double share) {
        lossShare = share;
    }
}
