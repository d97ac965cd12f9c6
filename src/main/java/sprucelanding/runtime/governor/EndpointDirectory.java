package sprucelanding.runtime.governor;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import sprucelanding.control.discovery.ListedEndpoint;

/**
 * A directory of all endpoints that were ever listed, by id and by address. Fronts use it to look
 * up endpoints. Written on the core's thread; safe to read from any thread.
 */
final class EndpointDirectory {
    private static final long UNKNOWN_ID = 0;

    private final Map<Long, ListedEndpoint> endpointsById = new ConcurrentHashMap<>();
    private final Map<String, Long> idsByAddress = new ConcurrentHashMap<>();

    void add(ListedEndpoint endpoint) {
        endpointsById.put(endpoint.id(), endpoint);
        idsByAddress.put(address(endpoint.host(), endpoint.port()), endpoint.id());
    }

    /** Returns the endpoint of an id; null if the endpoint was never listed. */
    ListedEndpoint endpoint(long id) {
        return endpointsById.get(id);
    }

    /** Returns the id of the endpoint that was last listed at an address; 0 if there is none. */
    long idAt(String host, int port) {
        return idsByAddress.getOrDefault(address(host, port), UNKNOWN_ID);
    }

    private static String address(String host, int port) {
        return host + ":" + port;
    }
}
