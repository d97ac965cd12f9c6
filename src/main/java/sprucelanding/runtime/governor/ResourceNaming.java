package sprucelanding.runtime.governor;

import java.util.List;
import sprucelanding.control.discovery.ListedEndpoint;

/** What a front needs to encode a resource. All methods are safe to call from any thread. */
public interface ResourceNaming {
    /** Names of the request classes, by position. */
    List<String> requestClassNames();

    /** The endpoint of an id, as it was listed last; null if it never was. */
    ListedEndpoint endpoint(long id);

    /** The id of the endpoint that was listed last at an address; 0 if none was. */
    long endpointIdAt(String host, int port);

    /** Whether proxies admit requests up to a rate; else they admit a share of them. */
    boolean admitsByRate();
}
