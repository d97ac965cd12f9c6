package sprucelanding.simulation.emulator;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import sprucelanding.control.membership.PeerCodec;

/** Network between zones. Also delivers the datagrams between governors. */
final class EmulatedNetwork {
    /** One-way delay between two machines. */
    static final double HOP_MILLIS = 0.15;

    /** Recipient number that stands for all governors except the sender. */
    private static final int ALL_PEERS = -1;

    private static final int PEER_KEY_BYTES = 16;

    private final VirtualClock clock;
    private final List<EmulatedGovernor> governors;
    private final SplittableRandom peerRandom;

    /** Codec that gives the sizes of peer messages. The messages are delivered as objects. */
    private final PeerCodec peerCodec = new PeerCodec(List.of(new byte[PEER_KEY_BYTES]));

    private final Set<Integer> cutZones = new HashSet<>();
    private final Set<Integer> isolatedPeers = new HashSet<>();
    private double peerLossShare;
    private long peerBytes;
    private long peerPackets;

    /**
     * Creates a network without faults.
     *
     * @param governors all governors by number; the caller fills the list before the first message
     * @param peerSeed seed of the losses and delays of datagrams
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
     * Sends a datagram from one governor to one or all other governors.
     *
     * @param recipient number of the receiving governor; negative for all other governors
     */
    void sendToPeers(int sender, int recipient, Object message) {
        int sizeBytes = peerCodec.encode(message).length;
        for (EmulatedGovernor governor : governors) {
            if (governor.number != sender
                    && (recipient <= ALL_PEERS || recipient == governor.number)) {
                peerBytes += sizeBytes;
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

    /** Returns the bytes of all datagrams sent, including lost datagrams. */
    long peerBytes() {
        return peerBytes;
    }

    /** Returns the number of datagrams sent, including lost datagrams. */
    long peerPackets() {
        return peerPackets;
    }
}
