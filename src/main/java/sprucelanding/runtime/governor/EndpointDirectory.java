package sprucelanding.runtime.governor;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import sprucelanding.control.discovery.ListedEndpoint;

/**
 * Every endpoint that was ever listed, by id and by address, for fronts to look up. Written on the
 * core's thread; safe to read from any thread.
 */
final class EndpointDirectory {
    private static final long UNKNOWN_ID = 0;

    private final Map<Long, ListedEndpoint> endpointsById = new ConcurrentHashMap<>();
    private final Map<String, Long> idsByAddress = new ConcurrentHashMap<>();

    void add(ListedEndpoint endpoint) {
        endpointsById.put(endpoint.id(), endpoint);
        idsByAddress.put(address(endpoint.host(), endpoint.port()), endpoint.id());
    }

    /** Null if it was never listed. */
    ListedEndpoint endpoint(long id) {
        return endpointsById.get(id);
    }

    /** The id of the endpoint that was listed last at the address; 0 if none was. */
    long idAt(String host, int port) {
        return idsByAddress.getOrDefault(address(host, port), UNKNOWN_ID);
    }

    private static String address(String host, int port) {
        return host + ":" + port;
    }
}
