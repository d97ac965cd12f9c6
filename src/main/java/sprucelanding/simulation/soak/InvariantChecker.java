package sprucelanding.simulation.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * A checker of the rules that the fleet must keep. The checker counts a violation once for each
 * proxy and endpoint, or for each proxy and interval. A checker is used only on the soak's event
 * loop. Times are in milliseconds.
 */
final class InvariantChecker {
    /** The rules that are checked. The comment of each rule describes its violation. */
    enum Rule {
        /**
         * A proxy can still send requests to an endpoint after the grace, which starts when the
         * removal of the endpoint is reported to the proxy's governor.
         */
        DRAIN,
        /** A proxy has had no endpoint for some request class for too long. */
        NO_ENDPOINT,
        /** Too many table entries wait in a governor's channel. */
        BACKLOG,
        /** A proxy was sent too many messages within ten seconds. */
        MESSAGES,
        /** A governor process ended without an injected fault. */
        CRASH,
        /**
         * A governor logged an internal fault, such as a failed decision or an order that the
         * governor's guard refused.
         */
        INTERNAL,
        /** A proxy still shuts out an endpoint that has been ready for a long time. */
        EJECTION
    }

    /** Tolerance that is added to the time limits of the rules. */
    private static final double SLACK_MS = 300;

    private static final double NO_ENDPOINT_LIMIT_MS = 7800;

    /** Time within which a proxy is told that an endpoint has returned. */
    private static final double RESTORATION_LIMIT_MS = 10_000;

    private static final double MESSAGE_SPAN_MS = 10_000;

    /** Time from a governor's first answer until the rules apply to its proxies. */
    private static final double STARTUP_TIME_MS = 1000;

    private static final int MAX_EXAMPLES = 5;

    private final SoakPlan plan;
    private final Map<Rule, Integer> violations = new TreeMap<>();
    private final List<String> examples = new ArrayList<>();
    private final Set<String> reportedIds = new HashSet<>();
    private final Map<Integer, Double> withoutEndpointSince = new HashMap<>();

    InvariantChecker(SoakPlan plan) {
        this.plan = plan;
    }

    /**
     * Checks the tables of one proxy against the removals that were reported to its governor.
     *
     * @param discovery discovery service of the proxy's governor
     * @param removed endpoints that are draining or gone
     * @param isOwnZoneEmpty whether no endpoint of the proxy's zone is ready
     * @param upSince time of the first answer of the proxy's governor
     */
    void check(
            FleetProxy proxy,
            DiscoveryServer discovery,
            List<SoakEndpoints.Change> removed,
            boolean isOwnZoneEmpty,
            double upSince,
            double now) {
        double countedFrom = Math.max(proxy.joinedAt(), upSince + STARTUP_TIME_MS);
        for (SoakEndpoints.Change endpoint : removed) {
            double dueAt =
                    Math.max(countedFrom, discovery.removalReportedAt(endpoint))
                            + plan.grace()
                            + SLACK_MS;
            if (now > dueAt && proxy.canRouteTo(endpoint.uid())) {
                recordViolation(
                        Rule.DRAIN,
                        proxy.number() + "/" + endpoint.uid() + "/" + endpoint.revision(),
                        drainEvidence(proxy, endpoint, now - dueAt + SLACK_MS, now));
            }
        }
        if (isOwnZoneEmpty) {
            withoutEndpointSince.remove(proxy.number());
        } else {
            checkHasEndpoints(proxy, countedFrom, now);
        }
    }

    /**
     * Checks that a proxy that joined some time ago shuts out no endpoint that has been ready for
     * some time.
     */
    void checkEjections(FleetProxy proxy, List<SoakEndpoints.Change> ready, double now) {
        for (SoakEndpoints.Change endpoint : ready) {
            double since = Math.max(proxy.joinedAt(), endpoint.changedAt());
            if (now - since > RESTORATION_LIMIT_MS + SLACK_MS && proxy.hasEjected(endpoint.uid())) {
                recordViolation(
                        Rule.EJECTION,
                        proxy.number() + "/" + endpoint.uid(),
                        "proxy " + proxy.number() + " shuts out " + endpoint.uid());
            }
        }
    }

    private static String drainEvidence(
            FleetProxy proxy, SoakEndpoints.Change endpoint, double lateMillis, double now) {
        return "proxy "
                + proxy.number()
                + " of governor "
                + proxy.governor().getAsInt()
                + " may pick "
                + endpoint.uid()
                + " "
                + Math.round(lateMillis)
                + " ms after its grace, joined "
                + Math.round(now - proxy.joinedAt())
                + " ms ago";
    }

    private void checkHasEndpoints(FleetProxy proxy, double countedFrom, double now) {
        if (proxy.hasEndpointForEveryClass()) {
            withoutEndpointSince.remove(proxy.number());
            return;
        }
        double since =
                Math.max(
                        countedFrom,
                        withoutEndpointSince.computeIfAbsent(proxy.number(), key -> now));
        if (now - since > NO_ENDPOINT_LIMIT_MS + SLACK_MS) {
            recordViolation(
                    Rule.NO_ENDPOINT,
                    proxy.number() + "/" + since,
                    "proxy "
                            + proxy.number()
                            + " has nothing to pick for "
                            + Math.round(now - since)
                            + " ms");
        }
    }

    /**
     * Checks a message to a proxy.
     *
     * @param backlogEntries table entries that wait in the governor's channel
     */
    void checkMessage(FleetProxy proxy, int governor, double backlogEntries, double now) {
        if (backlogEntries > plan.backlogLimit()) {
            recordViolation(
                    Rule.BACKLOG,
                    "backlog/" + governor + "/" + Math.floor(now / 1000),
                    Math.round(backlogEntries) + " lines wait at governor " + governor);
        }
        proxy.messageTimes().removeIf(at -> at < now - MESSAGE_SPAN_MS);
        if (plan.messageLimit() > 0 && proxy.messageTimes().size() > plan.messageLimit()) {
            recordViolation(
                    Rule.MESSAGES,
                    "messages/" + proxy.number() + "/" + Math.floor(now / MESSAGE_SPAN_MS),
                    proxy.messageTimes().size()
                            + " messages to proxy "
                            + proxy.number()
                            + " within ten seconds");
        }
    }

    /** Records that a governor process ended without an injected fault. */
    void recordCrash(int governor) {
        recordViolation(
                Rule.CRASH,
                "crash/" + governor + "/" + violations.getOrDefault(Rule.CRASH, 0),
                "governor " + governor + " ended by itself");
    }

    /** Records a line of a governor's log that reports an internal fault. */
    void recordInternalFault(int governor, String line) {
        recordViolation(
                Rule.INTERNAL, "internal/" + governor, "governor " + governor + " logged: " + line);
    }

    private void recordViolation(Rule rule, String id, String evidence) {
        if (reportedIds.add(rule + " " + id)) {
            violations.merge(rule, 1, Integer::sum);
            if (violations.get(rule) <= MAX_EXAMPLES) {
                examples.add(rule + ": " + evidence);
            }
        }
    }

    /** Returns the number of violations of each rule that was violated. */
    Map<Rule, Integer> violations() {
        return violations;
    }

    /** Returns descriptions of the first violations of each rule. */
    List<String> examples() {
        return examples;
    }
}
