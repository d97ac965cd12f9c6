package sprucelanding.simulation.emulator;

import sprucelanding.control.delivery.ResourceUpdate;

/**
 * Fault that breaks a stream to a zone within a message, namely the message with which the streams
 * to the zone exceed a number of bytes.
 */
final class StreamBreak {
    /** Approximate size of a message on the wire, without its entries. */
    private static final int MESSAGE_BYTES = 60;

    /** Approximate size of each entry of a message on the wire. */
    private static final int ENTRY_BYTES = 90;

    private static final int NO_ZONE = -1;

    private int zone = NO_ZONE;
    private int remainingBytes;

    void set(int brokenZone, int bytes) {
        zone = brokenZone;
        remainingBytes = bytes;
    }

    /**
     * Counts the bytes of a message to a proxy of a zone; returns whether the stream breaks within
     * the message.
     */
    boolean breaksWithin(int proxyZone, ResourceUpdate message) {
        if (proxyZone != zone) {
            return false;
        }
        remainingBytes -= MESSAGE_BYTES + ENTRY_BYTES * message.entryCount();
        if (remainingBytes >= 0) {
            return false;
        }
        zone = NO_ZONE;
        return true;
    }
}
