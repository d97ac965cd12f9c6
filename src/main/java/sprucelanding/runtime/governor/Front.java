package sprucelanding.runtime.governor;

import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.delivery.ResourceUpdate;

/**
 * Speaks a protocol with proxies. All methods but name are called on the core's thread and must not
 * block.
 */
public interface Front {
    /** The front's name in log lines. */
    String name();

    /** Sends an update to a proxy; it may be held back while the proxy does not read. */
    void send(ResourceUpdate update, ResourceNaming naming);

    /** Ends a stream and tells the proxy why; busy if it should connect to another governor. */
    void endStream(ProxyStream stream, boolean busy, String reason);

    /** Ends all streams and stops listening. */
    void close();
}
