package sprucelanding.control.decision;

import java.util.Collection;
import java.util.TreeMap;

/** The proxies with joined streams, in the order of their numbers. */
final class ProxyRegistry {
    private final TreeMap<Integer, Proxy> proxies = new TreeMap<>();

    /** Returns the proxy with the given number, or null. */
    Proxy get(int id) {
        return proxies.get(id);
    }

    void add(Proxy proxy) {
        proxies.put(proxy.id, proxy);
    }

    /** Removes and returns a proxy; null if there was none with the given number. */
    Proxy remove(int id) {
        return proxies.remove(id);
    }

    Collection<Proxy> all() {
        return proxies.values();
    }

    int size() {
        return proxies.size();
    }

    /** Returns whether this stream of the proxy is joined, and not a later stream. */
    boolean isJoined(Proxy proxy) {
        return proxies.get(proxy.id) == proxy;
    }

    /** Returns the proxy's share of the expected requests, 0 to 1; 0 while none are expected. */
    double shareOfBaselineDemand(Proxy proxy) {
        double total = baselineDemand();
        return total > 0 ? proxy.baselineDemand() / total : 0;
    }

    /** Returns the requests per second that were expected when the proxies joined, in total. */
    double baselineDemand() {
        return SequentialSum.of(all(), Proxy::baselineDemand);
    }
}
