package sprucelanding.simulation.rules;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Sees all once, in the order of time, and judges the five rules. */
public final class RuleChecker {
    private static final double SLACK_MILLIS =
            20; // ms between a stand-in's read and its note, on a busy machine

    /** One rule as it is watched. */
    private static final class RuleTally {
        final String rule;
        int violations;
        String firstViolation;
        double highestShare;
        String highestShareEvidence = "";

        RuleTally(String rule) {
            this.rule = rule;
        }

        void recordShare(double share, String format, Object... args) {
            if (share > 1) {
                violations++;
                firstViolation =
                        firstViolation == null ? recordViolation(format, args) : firstViolation;
            } else if (share > highestShare) {
                highestShare = share;
                highestShareEvidence = recordViolation(format, args);
            }
        }

        private static String recordViolation(String format, Object... args) {
            return String.format(Locale.ROOT, format, args);
        }

        Verdict verdict() {
            return new Verdict(
                    rule,
                    violations,
                    violations > 0
                            ? violations + " cases, the first: " + firstViolation
                            : highestShareEvidence.isEmpty()
                                    ? "nothing came near"
                                    : recordViolation(
                                            "nearest %.0f%%: %s",
                                            100 * highestShare, highestShareEvidence));
        }
    }

    private record ListedEndpoint(boolean ready, double since, double startedAt) {}

    private static final class ProxyState {
        int governor = -1;
        double joinedAt;
        double readsSince;
        boolean notReading;
        final Map<Integer, Integer> entriesByRequestClass = new HashMap<>();

        /** By product, since when it has been wrongly without a line; negative: it is not. */
        final Map<Integer, Double> withoutEntriesSince = new HashMap<>();

        final ArrayDeque<Double> messages = new ArrayDeque<>();
        long epoch;
        String currentGovernor = "";
    }

    private static final class WarmingEndpoint {
        final double startedAt;
        final double capacity;
        final ArrayDeque<TraceEvent.AttemptSent> window = new ArrayDeque<>();
        double work;
        boolean exceeded;

        WarmingEndpoint(double from, double capacity) {
            this.startedAt = from;
            this.capacity = capacity;
        }
    }

    private final RuleLimits limits;
    private double startedAt = Double.NaN;
    private double checkedAt;
    private double lastEventAt;
    private final RuleTally entriesRule = new RuleTally("a line to pick");
    private final RuleTally duplicateRule = new RuleTally("no effect twice");
    private final RuleTally drainRule = new RuleTally("drains kept");
    private final RuleTally warmupRule = new RuleTally("no cold replica pushed over");
    private final RuleTally messageRateRule = new RuleTally("a short queue");

    /** Judged where governors share the fleet. */
    private final RuleTally singleGovernorRule = new RuleTally("one voice for each proxy");

    private boolean sharedFleet;
    private final Map<Integer, ProxyState> proxies = new TreeMap<>();
    private final Map<Integer, Map<Long, ListedEndpoint>> endpointsByGovernor = new HashMap<>();
    private final Map<Long, TraceEvent.Executed> firstExecutions = new HashMap<>();
    private final Map<Long, WarmingEndpoint> warmingEndpoints = new HashMap<>();

    /** By governor, lines that wait in a channel of the stated pace, and as of when. */
    private final Map<Integer, double[]> waiting = new HashMap<>();

    public RuleChecker(RuleLimits limits) {
        this.limits = limits;
    }

    /** The five rules, in their order. */
    public static List<Verdict> check(List<TraceEvent> events, RuleLimits limits) {
        RuleChecker checker = new RuleChecker(limits);
        events.forEach(checker::accept);
        return checker.verdicts();
    }

    /** After the last that was seen. */
    public List<Verdict> verdicts() {
        checkEntries(lastEventAt);
        List<Verdict> verdicts = new ArrayList<>();
        for (RuleTally rule :
                List.of(entriesRule, duplicateRule, drainRule, warmupRule, messageRateRule)) {
            verdicts.add(rule.verdict());
        }
        if (sharedFleet) {
            verdicts.add(singleGovernorRule.verdict());
        }
        return verdicts;
    }

    /** The next thing seen, in the order of time. */
    public void accept(TraceEvent event) {
        if (Double.isNaN(startedAt)) {
            startedAt = event.at();
            checkedAt = startedAt;
        }
        if (event.at() > checkedAt + SLACK_MILLIS) {
            checkEntries(event.at());
            checkedAt = event.at();
        }
        lastEventAt = event.at();
        apply(event);
    }

    private ProxyState proxy(int id) {
        return proxies.computeIfAbsent(id, key -> new ProxyState());
    }

    private double seconds(double at) {
        return (at - startedAt) / 1000;
    }

    private void apply(TraceEvent event) {
        if (event instanceof TraceEvent.AttemptSent attemptSent) {
            checkSent(attemptSent);
        } else if (event instanceof TraceEvent.Executed executed) {
            TraceEvent.Executed before =
                    limits.nonRetryable().get(executed.requestClass())
                            ? firstExecutions.put(executed.requestId(), executed)
                            : null;
            if (before != null) {
                duplicateRule.recordShare(
                        2,
                        "txn %d took effect at %d at %.3f s, and at %d at %.3f s",
                        executed.requestId(),
                        before.endpointId(),
                        seconds(before.at()),
                        executed.endpointId(),
                        seconds(executed.at()));
            }
        } else if (event instanceof TraceEvent.EndpointReported reported) {
            endpointsOf(reported.governor())
                    .compute(
                            reported.endpointId(),
                            (id, previous) ->
                                    updatedEntry(
                                            previous,
                                            reported.ready(),
                                            reported.at(),
                                            reported.startedAt()));
        } else if (event instanceof TraceEvent.EndpointListReported reportedAll) {
            Map<Long, ListedEndpoint> endpoints = endpointsOf(reportedAll.governor());
            for (long id : List.copyOf(endpoints.keySet())) {
                if (!reportedAll.endpointIds().contains(id)) {
                    endpoints.computeIfPresent(
                            id,
                            (key, previous) ->
                                    updatedEntry(
                                            previous, false, reportedAll.at(), previous.startedAt));
                }
            }
        } else if (event instanceof TraceEvent.ProxyJoined joined) {
            proxyLeft(joined.proxy());
            proxy(joined.proxy()).governor = joined.governor();
            proxy(joined.proxy()).joinedAt = joined.at();
        } else if (event instanceof TraceEvent.ProxyLeft left) {
            proxyLeft(left.proxy());
        } else if (event instanceof TraceEvent.MessageSent messageSent) {
            checkMessage(messageSent);
        } else if (event instanceof TraceEvent.ReadingChanged reading) {
            proxy(reading.proxy()).notReading = !reading.reading();
            proxy(reading.proxy()).readsSince = reading.at();
        } else if (event instanceof TraceEvent.TableChanged picks) {
            proxy(picks.proxy()).entriesByRequestClass.put(picks.requestClass(), picks.entries());
        } else if (event instanceof TraceEvent.EndpointStarted started) {
            warmingEndpoints.put(
                    started.endpointId(), new WarmingEndpoint(started.at(), started.capacity()));
        } else if (event instanceof TraceEvent.EndpointStopped stopped) {
            warmingEndpoints.remove(stopped.endpointId());
        }
    }

    private static ListedEndpoint updatedEntry(
            ListedEndpoint previous, boolean ready, double at, double started) {
        boolean same = previous != null && previous.ready == ready && previous.startedAt == started;
        return same ? previous : new ListedEndpoint(ready, at, started);
    }

    private Map<Long, ListedEndpoint> endpointsOf(int governor) {
        return endpointsByGovernor.computeIfAbsent(governor, key -> new HashMap<>());
    }

    private void proxyLeft(int id) {
        ProxyState state = proxy(id);
        state.messages.clear();
        state.withoutEntriesSince.clear();
        state.governor = -1;
    }

    private void checkSent(TraceEvent.AttemptSent sent) {
        ProxyState state = proxy(sent.proxy());
        ListedEndpoint listed =
                state.governor < 0 ? null : endpointsOf(state.governor).get(sent.endpointId());
        if (listed != null && !listed.ready && !limits.softRemoval()) {
            double after =
                    state.notReading
                            ? 0
                            : sent.at()
                                    - Math.max(
                                            listed.since,
                                            Math.max(state.joinedAt, state.readsSince))
                                    - SLACK_MILLIS;
            drainRule.recordShare(
                    after / limits.graceMillis(),
                    "at %.3f s proxy %d sent to %d, %.2f s after governor %d was told",
                    seconds(sent.at()),
                    sent.proxy(),
                    sent.endpointId(),
                    (sent.at() - listed.since) / 1000,
                    state.governor);
        }
        WarmingEndpoint warming = warmingEndpoints.get(sent.endpointId());
        if (warming == null || warming.exceeded) {
            return;
        }
        double age = sent.at() - warming.startedAt;
        if (age > limits.warmupMillis() + limits.overloadWindowMillis()) {
            warmingEndpoints.remove(sent.endpointId());
            return;
        }
        warming.window.addLast(sent);
        warming.work += sent.workMillis();
        while (warming.window.peekFirst().at() < sent.at() - limits.overloadWindowMillis()) {
            warming.work -= warming.window.pollFirst().workMillis();
        }
        double warmShare =
                limits.coldCapacityShare()
                        + (1 - limits.coldCapacityShare())
                                * Math.min(1, age / limits.warmupMillis());
        double limit =
                limits.overloadFactor()
                        * warming.capacity
                        * warmShare
                        * limits.overloadWindowMillis();
        double informed = 0;
        for (TraceEvent.AttemptSent earlier : warming.window) {
            ProxyState sender = proxy(earlier.proxy());
            ListedEndpoint senderView =
                    sender.governor < 0
                            ? null
                            : endpointsOf(sender.governor).get(sent.endpointId());
            informed +=
                    senderView != null
                                    && senderView.startedAt >= warming.startedAt - 1000
                                    && senderView.since < earlier.at()
                            ? earlier.workMillis()
                            : 0;
        }
        boolean causedByInformed = informed > warming.work * 2 / 3;
        warming.exceeded = causedByInformed && warming.work > limit;
        warmupRule.recordShare(
                causedByInformed ? warming.work / limit : 0,
                "at %.3f s %d, up for %.1f s, was brought %.0f ms of work within %.1f s",
                seconds(sent.at()),
                sent.endpointId(),
                age / 1000,
                warming.work,
                limits.overloadWindowMillis() / 1000);
    }

    private void checkMessage(TraceEvent.MessageSent message) {
        ProxyState state = proxy(message.proxy());
        checkSingleGovernor(state, message);
        if (state.governor != message.governor()) {
            return; // of a former stream
        }
        double[] spent =
                waiting.computeIfAbsent(message.governor(), key -> new double[] {0, message.at()});
        spent[0] =
                Math.max(0, spent[0] - (message.at() - spent[1]) * limits.entriesPerMilli())
                        + message.entries()
                        + limits.messageOverhead();
        spent[1] = message.at();
        messageRateRule.recordShare(
                spent[0] / limits.maxQueuedEntries(),
                "at %.3f s %.0f lines would wait in governor %d's channel",
                seconds(message.at()),
                spent[0],
                message.governor());
        state.messages.addLast(message.at());
        while (state.messages.peekFirst() < message.at() - limits.messageSpanMillis()) {
            state.messages.pollFirst();
        }
        if (limits.maxMessagesPerSpan() > 0) {
            messageRateRule.recordShare(
                    (double) state.messages.size() / limits.maxMessagesPerSpan(),
                    "at %.3f s governor %d had written %d messages to proxy %d within %.0f s",
                    seconds(message.at()),
                    message.governor(),
                    state.messages.size(),
                    message.proxy(),
                    limits.messageSpanMillis() / 1000);
        }
    }

    /**
     * Epochs never go back at a proxy, one epoch has one writer, and once there are epochs nothing
     * comes without.
     */
    private void checkSingleGovernor(ProxyState state, TraceEvent.MessageSent message) {
        int mark = message.governorEpoch().lastIndexOf('#');
        long epoch = mark < 0 ? 0 : Long.parseLong(message.governorEpoch().substring(mark + 1));
        sharedFleet |= epoch > 0;
        if (!sharedFleet) {
            return;
        }
        boolean epochWentBack = epoch < state.epoch;
        boolean sameEpochTwoWriters =
                epoch == state.epoch
                        && !message.governorEpoch().equals(state.currentGovernor)
                        && !state.currentGovernor.isEmpty();
        singleGovernorRule.recordShare(
                epochWentBack || sameEpochTwoWriters ? 2 : 0,
                "at %.3f s proxy %d read a message of %s after one of %s",
                seconds(message.at()),
                message.proxy(),
                message.governorEpoch().isEmpty() ? "no epoch" : message.governorEpoch(),
                state.currentGovernor);
        state.epoch = Math.max(epoch, state.epoch);
        state.currentGovernor =
                epoch >= state.epoch ? message.governorEpoch() : state.currentGovernor;
    }

    /**
     * Looks at who is without a line though its governor's list shows one that is ready and warm.
     */
    private void checkEntries(double now) {
        Set<Integer> available = new HashSet<>();
        endpointsByGovernor.forEach(
                (governor, endpoints) -> {
                    if (endpoints.values().stream()
                            .anyMatch(
                                    listed ->
                                            listed.ready
                                                    && now - listed.startedAt
                                                            >= limits.warmupMillis())) {
                        available.add(governor);
                    }
                });
        proxies.forEach(
                (id, state) ->
                        state.entriesByRequestClass.forEach(
                                (requestClass, count) -> {
                                    if (count > 0 || !available.contains(state.governor)) {
                                        state.withoutEntriesSince.remove(requestClass);
                                        return;
                                    }
                                    double since =
                                            state.withoutEntriesSince.computeIfAbsent(
                                                    requestClass, key -> now);
                                    entriesRule.recordShare(
                                            (now - since) / limits.withoutEntriesMillis(),
                                            "at %.3f s proxy %d has had no line for product %d for %.2f s",
                                            seconds(now),
                                            id,
                                            requestClass,
                                            (now - since) / 1000);
                                }));
    }
}
