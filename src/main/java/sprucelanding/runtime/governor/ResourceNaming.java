package sprucelanding.runtime.governor;

import java.util.List;
import sprucelanding.control.discovery.ListedEndpoint;

/** What a front needs to put a resource into words: names of products, and where a replica is. */
public interface ResourceNaming {
    List<String> requestClassNames();

    /** Null if it was never listed. Safe to call from any thread. */
    ListedEndpoint endpoint(long id);

    /** The replica listed at that address; 0 if none was. Safe to call from any thread. */
    long endpointIdAt(String host, int port);

    /** Whether what is let in is a rate at each proxy; else it is a share. */
    boolean admitsByRate();
}
