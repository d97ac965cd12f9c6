package sprucelanding.front.netconf;

/** The outgoing side of one session with a device. Used on the front's event loop. */
interface DeviceTransport {
    /** Queues bytes; closes the session if the device doesn't read them. */
    void write(byte[] bytes);

    /** Closes the session; the reason is not sent to the device. */
    void close(String reason);
}
