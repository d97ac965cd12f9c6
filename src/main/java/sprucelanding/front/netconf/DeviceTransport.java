package sprucelanding.front.netconf;

/** Sends to a device on one session; used on the front's event loop. */
interface DeviceTransport {
    /** Queues bytes; closes the session if the device doesn't read them. */
    void write(byte[] bytes);

    /** Closes the session. */
    void close(String reason);
}
