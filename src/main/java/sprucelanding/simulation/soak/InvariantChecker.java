package sprucelanding.simulation.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Checks the rules on what the proxies hold, and counts violations: one for each proxy and
 * endpoint, or proxy and spell.
 */
final class InvariantChecker {
    /** The rules that are checked. */
    enum Rule {
        /**
         * A proxy may still pick an endpoint whose removal its governor was told more than the
         * grace ago.
         */
        DRAIN,
        /** A proxy has had no endpoint to pick for some class for too long. */
        NO_ENDPOINT,
        /** More lines wait in a governor's channel than may. */
        BACKLOG,
        /** A proxy was sent more messages within ten seconds than may be. */
        MESSAGES,
        /** A governor process ended though no fault ended it. */
        CRASH,
        /**
         * A governor logged a fault of the program: a failed decision, or an order that its guard
         * refused.
         */
        INTERNAL
    }

    private static final double SLACK_MILLIS = 300; // ms that the rules allow beyond their limits
    private static final double NO_ENDPOINT_LIMIT = 7800; // ms
    private static final double MESSAGE_SPAN = 10_000; // ms
    private static final double FIRST_ANSWER =
            1000; // ms after a governor's first answer before its limits begin
    private static final int MAX_EXAMPLES = 5;

    private final SoakPlan plan;
    private final Map<Rule, Integer> violations = new TreeMap<>();
    private final List<String> examples = new ArrayList<>();
    private final Set<String> reported = new HashSet<>();
    private final Map<Integer, Double> withoutLinesSince = new HashMap<>();

    InvariantChecker(SoakPlan plan) {
        this.plan = plan;
    }

    /**
     * Checks one proxy against the removals that its governor was told of; upSince: its governor's
     * first answer.
     */
    void check(
            FleetProxy proxy,
            DiscoveryServer discovery,
            List<SoakEndpoints.Change> removed,
            double upSince,
            double now) {
        double countedFrom = Math.max(proxy.joinedAt(), upSince + FIRST_ANSWER);
        for (SoakEndpoints.Change endpoint : removed) {
            double dueAt =
                    Math.max(countedFrom, discovery.removalReportedAt(endpoint))
                            + plan.grace()
                            + SLACK_MILLIS;
            if (now > dueAt && proxy.mayPick(endpoint.uid())) {
                String id = proxy.number + "/" + endpoint.uid() + "/" + endpoint.revision();
                violated(
                        Rule.DRAIN,
                        id,
                        "proxy "
                                + proxy.number
                                + " of governor "
                                + proxy.governor()
                                + " may pick "
                                + endpoint.uid()
                                + " "
                                + Math.round(now - dueAt + SLACK_MILLIS)
                                + " ms after its grace, joined "
                                + Math.round(now - proxy.joinedAt())
                                + " ms ago");
            }
        }
        checkLines(proxy, countedFrom, now);
    }

    private void checkLines(FleetProxy proxy, double countedFrom, double now) {
        if (proxy.hasLines()) {
            withoutLinesSince.remove(proxy.number);
            return;
        }
        double since =
                Math.max(countedFrom, withoutLinesSince.computeIfAbsent(proxy.number, key -> now));
        if (now - since > NO_ENDPOINT_LIMIT + SLACK_MILLIS) {
            violated(
                    Rule.NO_ENDPOINT,
                    proxy.number + "/" + since,
                    "proxy "
                            + proxy.number
                            + " has nothing to pick for "
                            + Math.round(now - since)
                            + " ms");
        }
    }

    /**
     * A message has been written to that proxy, and so many lines wait in its governor's channel
     * now.
     */
    void checkMessage(FleetProxy proxy, double waiting, double now) {
        if (waiting > plan.queueLimit()) {
            violated(
                    Rule.BACKLOG,
                    "backlog/" + proxy.governor() + "/" + Math.floor(now / 1000),
                    Math.round(waiting) + " lines wait at governor " + proxy.governor());
        }
        proxy.messageTimes().removeIf(at -> at < now - MESSAGE_SPAN);
        if (plan.messageLimit() > 0 && proxy.messageTimes().size() > plan.messageLimit()) {
            violated(
                    Rule.MESSAGES,
                    "messages/" + proxy.number + "/" + Math.floor(now / MESSAGE_SPAN),
                    proxy.messageTimes().size()
                            + " messages to proxy "
                            + proxy.number
                            + " within ten seconds");
        }
    }

    void crashed(int governor) {
        violated(
                Rule.CRASH,
                "crash/" + governor + "/" + violations.getOrDefault(Rule.CRASH, 0),
                "governor " + governor + " ended by itself");
    }

    void failed(int governor, String line) {
        violated(
                Rule.INTERNAL, "internal/" + governor, "governor " + governor + " logged: " + line);
    }

    private void violated(Rule rule, String id, String evidence) {
        if (reported.add(rule + " " + id)) {
            violations.merge(rule, 1, Integer::sum);
            if (violations.get(rule) <= MAX_EXAMPLES) {
                examples.add(rule + ": " + evidence);
            }
        }
    }

    Map<Rule, Integer> violations() {
        return violations;
    }

    List<String> examples() {
        return examples;
    }
}
