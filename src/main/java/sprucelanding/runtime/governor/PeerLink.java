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
 * The channel of signed datagrams between governors, used on the event loop. A separate thread,
 * named "peers-files", reloads changed keys and stores the highest epoch. The thread ends with
 * {@link #close}.
 */
final class PeerLink implements SharedGovernorCore.PeerChannel, Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(PeerLink.class);
    private static final long FILE_CHECK_INTERVAL_MILLIS = 1000;

    private final PeerKeys peerKeys;
    private final GenerationFile generationFile;
    private final Map<Integer, InetSocketAddress> addressesByGovernor;
    private final DatagramChannel channel;
    private final LongSupplier highestEpoch;
    private final Thread thread = new Thread(this, "peers-files");
    private long sentPackets;
    private long sentBytes;

    /** Written on the event loop, read by the thread "peers-files". */
    private volatile long latestHighestEpoch;

    /**
     * Starts to receive datagrams, and starts the thread.
     *
     * @param loop event loop that calls the consumers and the supplier
     * @param localAddress address to receive on
     * @param addressesByGovernor addresses of the other governors, by their number
     * @param peerKeys keys that sign and verify datagrams
     * @param generationFile stores the highest epoch
     * @param onMessage receives each message
     * @param onRejected receives the reason for which a datagram was rejected
     * @param highestEpoch supplies the highest known epoch
     */
    PeerLink(
            EventLoop loop,
            InetSocketAddress localAddress,
            Map<Integer, InetSocketAddress> addressesByGovernor,
            PeerKeys peerKeys,
            GenerationFile generationFile,
            Consumer<Object> onMessage,
            Consumer<String> onRejected,
            LongSupplier highestEpoch) {
        this.peerKeys = peerKeys;
        this.generationFile = generationFile;
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
            LOG.atDebug().setCause(e).log("a datagram to a governor was not sent");
        }
    }

    /** Returns the metrics since the previous call as alternating names and values. */
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
            generationFile.recordEpoch(latestHighestEpoch);
        } catch (IOException e) {
            LOG.atWarn()
                    .setMessage("the highest epoch cannot be stored")
                    .addKeyValue("why", e.toString())
                    .log();
        }
    }

    void close() {
        thread.interrupt();
    }
}
