package sprucelanding.simulation.loopback;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The simulated network between zones: each party has loopback addresses of its own, which identify
 * its zone; nothing passes between a cut zone and others. Thread-safe.
 */
public final class NetworkPartition {
    private static final int UNKNOWN_ZONE = -1;

    /** Loopback addresses end in 1 to this. */
    private static final int ADDRESSES_PER_NET = 250;

    private final Map<InetAddress, Integer> zonesByAddress = new ConcurrentHashMap<>();
    private final Set<Integer> cutZones = ConcurrentHashMap.newKeySet();

    /** An address for a party of a zone to connect from: 127.KIND.ZONE.NUMBER. */
    public InetSocketAddress sourceAddress(int kind, int zone, int number) {
        InetSocketAddress address =
                new InetSocketAddress(
                        "127." + kind + "." + zone + "." + (1 + number % ADDRESSES_PER_NET), 0);
        zonesByAddress.put(address.getAddress(), zone);
        return address;
    }

    /** Cuts a zone off from all others, or ends the cut. */
    public void setCut(int zone, boolean enabled) {
        if (enabled) {
            cutZones.add(zone);
        } else {
            cutZones.remove(zone);
        }
    }

    /** Whether two zones reach each other. */
    public boolean isOpen(int fromZone, int toZone) {
        return fromZone == toZone || !cutZones.contains(fromZone) && !cutZones.contains(toZone);
    }

    /** The zone of an address; -1 if it is no party's. */
    public int zoneOf(InetAddress from) {
        return zonesByAddress.getOrDefault(from, UNKNOWN_ZONE);
    }

    /** Whether what comes from an address reaches a zone; addresses of no party reach all. */
    public boolean isOpen(InetAddress from, int zone) {
        Integer fromZone = zonesByAddress.get(from);
        return fromZone == null || isOpen(fromZone, zone);
    }
}
