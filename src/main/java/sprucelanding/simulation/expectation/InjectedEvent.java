package sprucelanding.simulation.expectation;

import java.util.List;
import java.util.Locale;

/**
 * An event on specific endpoints.
 *
 * @param target description of the affected endpoints; empty for the whole fleet
 * @param endpoints positions of the affected endpoints; empty for the whole fleet
 * @param delayMillis time since the previous event
 * @param size utilization or factor, depending on the kind
 */
record InjectedEvent(
        EventKind kind, String target, List<Integer> endpoints, double delayMillis, double size) {
    /** Returns a description of the event as a part of a sequence. */
    String describe() {
        return String.format(
                Locale.ROOT,
                "%.1f s later %s%s",
                delayMillis / 1000,
                target.isEmpty() ? "" : target + " ",
                describeKind());
    }

    private String describeKind() {
        return switch (kind) {
            case DEMAND_CHANGES -> size + " times as much";
            case GOVERNOR_RESTARTS -> "the governor restarts";
            default -> kind.word();
        };
    }

    /** Returns whether the event has the same kind and the same endpoints as another event. */
    boolean repeats(InjectedEvent other) {
        return kind == other.kind && !endpoints.isEmpty() && endpoints.equals(other.endpoints);
    }
}
