package sprucelanding.delivery;

import java.util.List;

/**
 * A resource as it is to be held. Its version tells its content, so that whatever governor wrote it, another sees whether a
 * proxy holds it already.
 *
 * @param lines of a line itself or of endpoints on a whole-state stream; else empty
 * @param rules of the route; else empty
 */
public record Item(Name name, String version, List<Line> lines, List<Rule> rules) {
    /** A line: its weight, at least 1, and whether the replica only finishes what it has. */
    public record Line(long replica, int weight, boolean draining) {
        String version() {
            return (draining ? "d" : "w") + weight;
        }
    }

    /** One product's part of the route: letIn is a share below 1, or txns a second where the site admits by rate. */
    public record Rule(int product, int table, double letIn, int retry) {
        String version() {
            return product + ":" + table + ":" + Math.round(letIn * 1e4) + ":" + retry;
        }
    }
}
