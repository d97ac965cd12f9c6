package sprucelanding.runtime.governor;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sprucelanding.control.core.SharedGovernorCore;
import sprucelanding.control.membership.FleetMember;
import sprucelanding.control.membership.PeerCodec;
import sprucelanding.runtime.eventloop.EventLoop;

/**
 * Signed datagrams between governors, sent and received on the event loop; and beside it a thread,
 * named "peers-files", which reads changed keys and stores the highest epoch. That thread ends with
 * {@link #close}.
 */
final class PeerLink implements SharedGovernorCore.PeerChannel, Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(PeerLink.class);
    private static final long FILE_CHECK_INTERVAL_MILLIS = 1000;

    private final PeerKeys peerKeys;
    private final GenerationFile incarnationFile;
    private final Map<Integer, InetSocketAddress> addressesByGovernor;
    private final DatagramChannel channel;
    private final LongSupplier highestEpoch;
    private final Thread thread = new Thread(this, "peers-files");
    private long sentPackets;
    private long sentBytes;

    /** Written on the loop, read by the thread beside it. */
    private volatile long latestHighestEpoch;

    /**
     * Begins to receive, and starts the thread.
     *
     * @param loop calls the consumers and the supplier
     * @param localAddress where to receive
     * @param addressesByGovernor where the other governors receive
     * @param peerKeys sign and verify datagrams
     * @param incarnationFile stores the highest epoch
     * @param onMessage takes each message
     * @param onRejected takes why a datagram was rejected
     * @param highestEpoch the highest epoch heard of
     */
    PeerLink(
            EventLoop loop,
            InetSocketAddress localAddress,
            Map<Integer, InetSocketAddress> addressesByGovernor,
            PeerKeys peerKeys,
            GenerationFile incarnationFile,
            Consumer<Object> onMessage,
            Consumer<String> onRejected,
            LongSupplier highestEpoch) {
        this.peerKeys = peerKeys;
        this.incarnationFile = incarnationFile;
        this.addressesByGovernor = new TreeMap<>(addressesByGovernor);
        this.highestEpoch = highestEpoch;
        this.channel =
                loop.receiveDatagrams(
                        localAddress,
                        (sender, packet) -> {
                            try {
                                onMessage.accept(peerKeys.codec().decode(packet));
                            } catch (PeerCodec.MalformedPacketException e) {
                                onRejected.accept(e.getMessage() + ", from " + sender);
                            }
                        });
        loop.scheduleWithFixedDelay(
                FILE_CHECK_INTERVAL_MILLIS,
                () -> latestHighestEpoch = this.highestEpoch.getAsLong());
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void send(int governor, Object message) {
        byte[] packet = peerKeys.codec().encode(message);
        addressesByGovernor.forEach(
                (id, address) -> {
                    if (governor == FleetMember.ALL_PEERS || governor == id) {
                        sendPacket(packet, address);
                    }
                });
    }

    private void sendPacket(byte[] packet, InetSocketAddress address) {
        try {
            channel.send(ByteBuffer.wrap(packet), address);
            sentPackets++;
            sentBytes += packet.length;
        } catch (IOException e) {
            LOG.atDebug().setCause(e).log("a packet to a governor is lost");
        }
    }

    /** Names and values of what was sent since this was asked last. */
    Object[] takeMetrics() {
        Object[] metrics = {"peerPackets", sentPackets, "peerBytes", sentBytes};
        sentPackets = 0;
        sentBytes = 0;
        return metrics;
    }

    @Override
    public void run() {
        try {
            while (true) {
                TimeUnit.MILLISECONDS.sleep(FILE_CHECK_INTERVAL_MILLIS);
                peerKeys.reloadIfChanged();
                storeHighestEpoch();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void storeHighestEpoch() {
        try {
            incarnationFile.recordEpoch(latestHighestEpoch);
        } catch (IOException e) {
            LOG.atWarn()
                    .setMessage("the highest epoch cannot be kept")
                    .addKeyValue("why", e.toString())
                    .log();
        }
    }

    void close() {
        thread.interrupt();
    }
}
