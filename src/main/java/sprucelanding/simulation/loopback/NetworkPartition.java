package sprucelanding.simulation.loopback;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Who reaches whom: each party has loopback addresses of its own, which tell its zone; a cut zone
 * hears no other.
 */
public final class NetworkPartition {
    private final Map<InetAddress, Integer> zonesByAddress = new ConcurrentHashMap<>();
    private final Set<Integer> cutZones = ConcurrentHashMap.newKeySet();

    /** An address to dial from for a party of a zone: 127.KIND.ZONE.NUMBER. */
    public InetSocketAddress sourceAddress(int kind, int zone, int number) {
        InetSocketAddress address =
                new InetSocketAddress("127." + kind + "." + zone + "." + (1 + number % 250), 0);
        zonesByAddress.put(address.getAddress(), zone);
        return address;
    }

    public void setCut(int zone, boolean enabled) {
        if (enabled) {
            cutZones.add(zone);
        } else {
            cutZones.remove(zone);
        }
    }

    public boolean isOpen(int fromZone, int toZone) {
        return fromZone == toZone || !cutZones.contains(fromZone) && !cutZones.contains(toZone);
    }

    /** The zone of an address; -1 if it is no party's. */
    public int zoneOf(InetAddress from) {
        return zonesByAddress.getOrDefault(from, -1);
    }

    /** Whether what comes from an address reaches a zone; addresses of no party reach all. */
    public boolean isOpen(InetAddress from, int zone) {
        Integer fromZone = zonesByAddress.get(from);
        return fromZone == null || isOpen(fromZone, zone);
    }
}
