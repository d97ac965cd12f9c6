package sprucelanding.control.delivery;

import java.util.List;
import java.util.function.Function;

/**
 * Resource that a proxy should hold. Its version is derived from its content, so that a governor
 * recognizes a resource that another governor wrote and that the proxy already holds.
 *
 * <p>The same object is sent to many proxies and caches the fronts' encodings.
 */
public final class RoutingResource {
    /**
     * Entry of one endpoint in a table.
     *
     * @param endpointId id of the endpoint
     * @param weight weight of the entry, at least 1
     * @param isDraining whether the endpoint receives no new requests
     */
    public record EndpointEntry(long endpointId, int weight, boolean isDraining) {
        String version() {
            return (isDraining ? "d" : "w") + weight;
        }
    }

    /**
     * Route of one request class.
     *
     * @param requestClass index of the request class
     * @param table table to which the request class is routed
     * @param admissionLevel admitted share, or requests per second if the site admits by rate
     * @param retryMode which failed requests are retried, as defined by the controller's output
     */
    public record RouteRule(int requestClass, int table, double admissionLevel, int retryMode) {
        String version() {
            return requestClass
                    + ":"
                    + table
                    + ":"
                    + Math.round(admissionLevel * LEVEL_STEPS_PER_UNIT)
                    + ":"
                    + retryMode;
        }
    }

    /** Number of encodings that are cached for a resource. */
    private static final int ENCODING_FORM_COUNT = 4;

    /** Resolution of admission levels in versions: 1/10,000. */
    private static final double LEVEL_STEPS_PER_UNIT = 1e4;

    private final ResourceName name;
    private final String version;
    private final List<EndpointEntry> entries;
    private final List<RouteRule> rules;
    private final Object[] encodings = new Object[ENCODING_FORM_COUNT];

    RoutingResource(
            ResourceName name, String version, List<EndpointEntry> entries, List<RouteRule> rules) {
        this.name = name;
        this.version = version;
        this.entries = entries;
        this.rules = rules;
    }

    /** Creates the entry of one endpoint in a table. */
    static RoutingResource entry(ResourceName name, int weight, boolean draining) {
        EndpointEntry entry = new EndpointEntry(name.endpointId(), weight, draining);
        return new RoutingResource(name, entry.version(), List.of(entry), List.of());
    }

    /** Returns the name of the resource. */
    public ResourceName name() {
        return name;
    }

    /** Returns the version, which is derived from the content. */
    public String version() {
        return version;
    }

    /**
     * Returns the entries: one for an entry resource, all entries of the table for endpoints on a
     * state-of-the-world stream, and none for other resources.
     */
    public List<EndpointEntry> entries() {
        return entries;
    }

    /** Returns the rules of the route; empty for other resources. */
    public List<RouteRule> rules() {
        return rules;
    }

    /** Returns whether the resource is the entry of a draining endpoint. */
    boolean isDrainingEntry() {
        return name.type() == ResourceType.LINE && entries.get(0).isDraining();
    }

    /**
     * Returns a front's encoding of the resource, which is computed once per form. Several threads
     * may call this method without a lock; two threads may both compute the encoding, with the same
     * result.
     *
     * @param form index of the encoding, less than 4
     */
    @SuppressWarnings("unchecked")
    public <T> T encoded(int form, Function<RoutingResource, T> encoder) {
        T cached = (T) encodings[form];
        if (cached == null) {
            cached = encoder.apply(this);
            encodings[form] = cached;
        }
        return cached;
    }
}
