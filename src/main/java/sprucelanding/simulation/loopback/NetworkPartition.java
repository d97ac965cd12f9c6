package sprucelanding.simulation.loopback;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The simulated network between zones. Each party connects from its own loopback addresses, which
 * identify the party's zone. Nothing passes between a cut zone and other zones. Thread-safe.
 */
public final class NetworkPartition {
    private static final int UNKNOWN_ZONE = -1;

    /** The highest value of the last byte of a loopback address; the lowest is 1. */
    private static final int ADDRESSES_PER_NET = 250;

    private final Map<InetAddress, Integer> zonesByAddress = new ConcurrentHashMap<>();
    private final Set<Integer> cutZones = ConcurrentHashMap.newKeySet();

    /**
     * Returns an address for a party of a zone to connect from, and registers its zone. The address
     * is 127.KIND.ZONE.N, where N is the number wrapped to the range from 1 to 250.
     */
    public InetSocketAddress sourceAddress(int kind, int zone, int number) {
        InetSocketAddress address =
                new InetSocketAddress(
                        "127." + kind + "." + zone + "." + (1 + number % ADDRESSES_PER_NET), 0);
        zonesByAddress.put(address.getAddress(), zone);
        return address;
    }

    /** Cuts a zone off from all other zones, or ends the cut. */
    public void setCut(int zone, boolean enabled) {
        if (enabled) {
            cutZones.add(zone);
        } else {
            cutZones.remove(zone);
        }
    }

    /** Returns whether two zones reach each other. */
    public boolean isOpen(int fromZone, int toZone) {
        return fromZone == toZone || !cutZones.contains(fromZone) && !cutZones.contains(toZone);
    }

    /** Returns the zone of an address, or -1 if the address belongs to no party. */
    public int zoneOf(InetAddress from) {
        return zonesByAddress.getOrDefault(from, UNKNOWN_ZONE);
    }

    /**
     * Returns whether traffic from an address reaches a zone. An address that belongs to no party
     * reaches all zones.
     */
    public boolean isOpen(InetAddress from, int zone) {
        Integer fromZone = zonesByAddress.get(from);
        return fromZone == null || isOpen(fromZone, zone);
    }
}
