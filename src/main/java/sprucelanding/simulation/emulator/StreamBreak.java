package sprucelanding.simulation.emulator;

import sprucelanding.control.delivery.ResourceUpdate;

/** A fault: the next stream to a zone that passes a number of bytes breaks within that message. */
final class StreamBreak {
    /** Approximate bytes of a message on the wire, without its entries and for each of them. */
    private static final int MESSAGE_BYTES = 60;

    private static final int ENTRY_BYTES = 90;
    private static final int NO_ZONE = -1;

    private int zone = NO_ZONE;
    private int remainingBytes;

    void set(int brokenZone, int bytes) {
        zone = brokenZone;
        remainingBytes = bytes;
    }

    /** Whether the stream breaks within this message to a proxy of a zone. */
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
