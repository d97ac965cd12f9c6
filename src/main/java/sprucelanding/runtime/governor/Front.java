package sprucelanding.runtime.governor;

import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.delivery.ResourceUpdate;

/** What speaks to proxies. All calls come from the core's thread and must not block. */
public interface Front {
    String name();

    /**
     * Takes a message for a proxy of its own; it may hold it back while the proxy does not read.
     */
    void send(ResourceUpdate update, ResourceNaming naming);

    /** Ends a stream; the proxy is told why. */
    void endStream(ProxyStream stream, boolean busy, String reason);

    void close();
}
