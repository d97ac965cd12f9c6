package sprucelanding.front.netconf;

import java.io.IOException;
import java.util.ArrayDeque;
import org.apache.sshd.client.channel.ChannelSubsystem;
import org.apache.sshd.client.session.ClientSession;
import org.apache.sshd.common.io.IoInputStream;
import org.apache.sshd.common.io.IoReadFuture;
import org.apache.sshd.common.util.buffer.ByteArrayBuffer;

/**
 * The SSH channel of one NETCONF session. Passes received bytes to the front's event loop, and
 * reads more once the loop has accepted them. Writes outgoing messages one after the other. The
 * state of writing is used on the event loop only; reading happens on the SSH library's threads.
 */
final class SshTransport implements DeviceTransport {
    private static final int READ_BUFFER_BYTES = 32_768;
    private static final int MAX_PENDING_WRITES = 64;

    private final NetconfFront front;
    private final String deviceName;
    private final ClientSession session;
    private final ChannelSubsystem channel;
    private final ArrayDeque<byte[]> pendingMessages = new ArrayDeque<>();
    private boolean isWriting;

    SshTransport(
            NetconfFront front,
            String deviceName,
            ClientSession session,
            ChannelSubsystem channel) {
        this.front = front;
        this.deviceName = deviceName;
        this.session = session;
        this.channel = channel;
    }

    /** Notifies the {@link Device} of the session now and of its end later, and starts to read. */
    void start() {
        session.addCloseFutureListener(future -> executeOnLoop(() -> device().onSessionLost(this)));
        executeOnLoop(() -> device().onSessionOpened(this));
        readNext(channel.getAsyncOut(), new ByteArrayBuffer(READ_BUFFER_BYTES));
    }

    private Device device() {
        return front.device(deviceName);
    }

    private void executeOnLoop(Runnable task) {
        front.awaitAccepted(() -> front.loop().tryExecute(task));
    }

    private void readNext(IoInputStream input, ByteArrayBuffer buffer) {
        input.read(buffer).addListener((IoReadFuture future) -> onRead(future, input, buffer));
    }

    private void onRead(IoReadFuture future, IoInputStream input, ByteArrayBuffer buffer) {
        if (future.getException() != null) {
            session.close(true);
            return;
        }
        byte[] bytes = buffer.getCompactData();
        executeOnLoop(() -> device().onBytes(this, bytes));
        readNext(input, new ByteArrayBuffer(READ_BUFFER_BYTES));
    }

    @Override
    public void write(byte[] bytes) {
        if (pendingMessages.size() >= MAX_PENDING_WRITES) {
            close("the device does not read");
            return;
        }
        pendingMessages.add(bytes);
        writeNext();
    }

    private void writeNext() {
        if (isWriting || pendingMessages.isEmpty()) {
            return;
        }
        isWriting = true;
        try {
            channel.getAsyncIn()
                    .writeBuffer(new ByteArrayBuffer(pendingMessages.poll()))
                    .addListener(future -> front.loop().tryExecute(this::onWritten));
        } catch (IOException | RuntimeException e) {
            // The SSH library throws its own unchecked exceptions on a closing channel.
            close(e.getMessage());
        }
    }

    private void onWritten() {
        isWriting = false;
        writeNext();
    }

    @Override
    public void close(String reason) {
        session.close(true);
    }
}
