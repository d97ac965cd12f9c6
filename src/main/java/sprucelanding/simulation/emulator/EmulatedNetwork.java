package sprucelanding.simulation.emulator;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import sprucelanding.control.membership.PeerCodec;

/** The network between zones, and the datagrams between governors. */
final class EmulatedNetwork {
    /** The ms one way between two machines. */
    static final double HOP_MILLIS = 0.15;

    /** As recipient: all governors but the sender. */
    private static final int ALL_PEERS = -1;

    private static final int PEER_KEY_BYTES = 16;

    private final VirtualClock clock;
    private final List<EmulatedGovernor> governors;
    private final SplittableRandom peerRandom;

    /** Encodes peer messages for their sizes only; they are delivered as objects. */
    private final PeerCodec peerCodec = new PeerCodec(List.of(new byte[PEER_KEY_BYTES]));

    private final Set<Integer> cutZones = new HashSet<>();
    private final Set<Integer> isolatedPeers = new HashSet<>();
    private double peerLossShare;
    private long peerBytes;
    private long peerPackets;

    /**
     * Creates a network without faults.
     *
     * @param governors all governors by number; filled before the first message
     * @param peerSeed of losses and delays of datagrams
     */
    EmulatedNetwork(VirtualClock clock, List<EmulatedGovernor> governors, long peerSeed) {
        this.clock = clock;
        this.governors = governors;
        this.peerRandom = new SplittableRandom(peerSeed);
    }

    void setZoneCut(int zone, boolean enabled) {
        if (enabled) {
            cutZones.add(zone);
        } else {
            cutZones.remove(zone);
        }
        governors.forEach(EmulatedGovernor::connectivityChanged);
    }

    boolean isOpen(int fromZone, int toZone) {
        return fromZone == toZone
                || cutZones.isEmpty()
                || !cutZones.contains(fromZone) && !cutZones.contains(toZone);
    }

    void setPeerIsolated(int governor, boolean enabled) {
        if (enabled) {
            isolatedPeers.add(governor);
        } else {
            isolatedPeers.remove(governor);
        }
    }

    void setPeerLossShare(double share) {
        peerLossShare = share;
    }

    /**
     * Sends a datagram from one governor to another.
     *
     * @param recipient below 0 for all others
     */
    void sendToPeers(int sender, int recipient, Object message) {
        int size = peerCodec.encode(message).length;
        for (EmulatedGovernor governor : governors) {
            if (governor.number != sender
                    && (recipient <= ALL_PEERS || recipient == governor.number)) {
                peerBytes += size;
                peerPackets++;
                if (isOpen(governors.get(sender).zone, governor.zone)
                        && !isolatedPeers.contains(sender)
                        && !isolatedPeers.contains(governor.number)
                        && peerRandom.nextDouble() >= peerLossShare) {
                    clock.scheduleAfter(
                            HOP_MILLIS + peerRandom.nextDouble(),
                            () -> governor.onPeerMessage(message));
                }
            }
        }
    }

    /** Bytes of all datagrams, lost ones included. */
    long peerBytes() {
        return peerBytes;
    }

    /** Datagrams sent, lost ones included. */
    long peerPackets() {
        return peerPackets;
    }
}
