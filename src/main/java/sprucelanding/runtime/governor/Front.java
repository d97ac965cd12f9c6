package sprucelanding.runtime.governor;

import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.delivery.ResourceUpdate;

/**
 * A protocol front end, which communicates with proxies. All methods except {@link #name} are
 * called on the core's thread and must not block.
 */
public interface Front {
    /** Returns the front's name in log lines. */
    String name();

    /** Sends an update to a proxy; the update is delayed while the proxy does not read. */
    void send(ResourceUpdate update, ResourceNaming naming);

    /**
     * Ends a stream and gives the proxy the reason, as far as the protocol can.
     *
     * @param busy whether the proxy should connect to another governor
     */
    void endStream(ProxyStream stream, boolean busy, String reason);

    /** Ends all streams and stops listening. */
    void close();
}
