package sprucelanding.runtime.governor;

import java.util.List;
import sprucelanding.control.discovery.ListedEndpoint;

/** The names and addresses that a front needs to encode a resource. Thread-safe. */
public interface ResourceNaming {
    /** Returns the names of the request classes, by index. */
    List<String> requestClassNames();

    /** Returns the endpoint of an id as it was last listed; null if it was never listed. */
    ListedEndpoint endpoint(long id);

    /** Returns the id of the endpoint that was last listed at an address; 0 if there is none. */
    long endpointIdAt(String host, int port);

    /** Returns whether proxies admit requests up to a rate; otherwise they admit a share. */
    boolean admitsByRate();
}
