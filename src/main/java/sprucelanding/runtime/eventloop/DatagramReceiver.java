package sprucelanding.runtime.eventloop;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.util.function.BiConsumer;

/** A handler that receives the datagrams of a channel and passes on copies. */
final class DatagramReceiver implements SelectionHandler {
    private static final int MAX_DATAGRAM_BYTES = 2048;

    /** Further datagrams stay in the socket's buffer, so that other channels are handled too. */
    private static final int MAX_DATAGRAMS_PER_ROUND = 256;

    private final DatagramChannel channel;
    private final BiConsumer<InetSocketAddress, byte[]> datagramHandler;
    private final ByteBuffer buffer = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);

    DatagramReceiver(
            DatagramChannel channel, BiConsumer<InetSocketAddress, byte[]> datagramHandler) {
        this.channel = channel;
        this.datagramHandler = datagramHandler;
    }

    @Override
    public void onReady(SelectionKey key) throws IOException {
        for (int received = 0; received < MAX_DATAGRAMS_PER_ROUND; received++) {
            buffer.clear();
            InetSocketAddress sender = (InetSocketAddress) channel.receive(buffer);
            if (sender == null) {
                return;
            }
            buffer.flip();
            byte[] payload = new byte[buffer.remaining()];
            buffer.get(payload);
            datagramHandler.accept(sender, payload);
        }
    }
}
