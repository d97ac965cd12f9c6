package sprucelanding.control.delivery;

import java.util.List;
import java.util.function.Function;

/**
 * A resource as it is to be held. Its version tells its content, so that whatever governor wrote
 * it, another sees whether a proxy holds it already. Many proxies are sent the same item, which
 * keeps the words that a front found for it.
 */
public final class RoutingResource {
    /** A line: its weight, at least 1, and whether the replica only finishes what it has. */
    public record EndpointEntry(long endpointId, int weight, boolean draining) {
        String version() {
            return (draining ? "d" : "w") + weight;
        }
    }

    /**
     * One product's part of the route: letIn is a share below 1, or txns a second where the site
     * admits by rate.
     */
    public record RouteRule(int requestClass, int table, double admittedLevel, int retryMode) {
        String version() {
            return requestClass
                    + ":"
                    + table
                    + ":"
                    + Math.round(admittedLevel * 1e4)
                    + ":"
                    + retryMode;
        }
    }

    private static final int ENCODING_FORMS = 4;
    private final ResourceName name;
    private final String version;
    private final List<EndpointEntry> entries;
    private final List<RouteRule> rules;
    private final Object[] encodings = new Object[ENCODING_FORMS];

    RoutingResource(
            ResourceName name, String version, List<EndpointEntry> entries, List<RouteRule> rules) {
        this.name = name;
        this.version = version;
        this.entries = entries;
        this.rules = rules;
    }

    public ResourceName name() {
        return name;
    }

    public String version() {
        return version;
    }

    /** Of a line itself, or of endpoints on a whole-state stream; else none. */
    public List<EndpointEntry> entries() {
        return entries;
    }

    /** Of the route; else none. */
    public List<RouteRule> rules() {
        return rules;
    }

    /**
     * What a front says for it, found once for each form; two threads may both find it, with the
     * same result.
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
