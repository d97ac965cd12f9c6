package sprucelanding.simulation.expectation;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.IntStream;
import sprucelanding.config.governor.GovernorConfig;
import sprucelanding.simulation.expectation.Expectations.Event;
import sprucelanding.simulation.expectation.Expectations.Expectation;
import sprucelanding.simulation.scenario.Scenario;

/**
 * Tries each expectation on every replica, zone or pair of them that its events can strike, and
 * searches sequences of failures. A failing story is cut to the shortest that still fails. Says,
 * too, which expectations never applied and which contradict each other.
 */
public final class ExpectationChecker {
    /** What came of it: failures by expectation with their stories, and what else is to be told. */
    public record CheckReport(
            Map<String, String> failed,
            List<String> contradictions,
            List<String> neverApplied,
            long stories,
            int bugs) {
        public boolean passed() {
            return failed.isEmpty()
                    && contradictions.isEmpty()
                    && neverApplied.isEmpty()
                    && bugs == 0;
        }
    }

    /** An event on those whom it strikes. */
    private record InjectedEvent(
            String kind, String target, List<Integer> endpoints, double delayMillis, double size) {
        String describe() {
            String said =
                    kind.equals("more")
                            ? size + " times as much"
                            : kind.equals("restarts") ? "the governor restarts" : kind;
            return String.format(
                    Locale.ROOT,
                    "%.1f s later %s%s",
                    delayMillis / 1000,
                    target.isEmpty() ? "" : target + " ",
                    said);
        }
    }

    /**
     * What a story showed of an expectation: whether it applied at all, and why it failed, or null.
     */
    private record CheckResult(boolean applied, String failure) {
        static final CheckResult HELD = new CheckResult(true, null);
        static final CheckResult NOT_APPLICABLE = new CheckResult(false, null);

        static CheckResult failed(String format, Object... args) {
            return new CheckResult(true, String.format(Locale.ROOT, format, args));
        }

        static CheckResult held(boolean applied) {
            return applied ? HELD : NOT_APPLICABLE;
        }

        boolean failed() {
            return failure != null;
        }
    }

    private static final double SETTLE_MILLIS = 12_000; // ms until a fleet that begins is calm
    private static final double CHECK_INTERVAL = 500;
    private static final int MAX_SEQUENCES = 200_000;

    private final Scenario scenario;
    private final GovernorConfig config;
    private final LongAdder sequencesRun = new LongAdder();
    private final LongAdder internalErrors = new LongAdder();

    public ExpectationChecker(Scenario scenario, GovernorConfig config) {
        this.scenario = scenario;
        this.config = config;
    }

    /** Throws IllegalArgumentException with the field for what the records' types cannot say. */
    public CheckReport check(Expectations expectations) {
        Map<String, String> failed = new LinkedHashMap<>();
        List<String> neverApplied = new ArrayList<>();
        Map<String, Set<String>> heldIn = new LinkedHashMap<>();
        Map<String, Set<String>> failedIn = new LinkedHashMap<>();
        for (int i = 0; i < expectations.expectations().size(); i++) {
            Expectation expectation = expectations.expectations().get(i);
            checkNames(expectation, "expectations[" + i + "]");
            List<List<InjectedEvent>> sequences = sequencesOf(expectation.events());
            boolean applied = false;
            List<CheckResult> results =
                    sequences.parallelStream()
                            .map(sequence -> runSequence(expectation, sequence))
                            .toList();
            for (int n = 0; n < sequences.size(); n++) {
                List<InjectedEvent> sequence = sequences.get(n);
                CheckResult result = results.get(n);
                applied |= result.applied;
                String description = describe(sequence);
                if (result.failed()) {
                    failedIn.computeIfAbsent(expectation.name(), key -> new LinkedHashSet<>())
                            .add(description);
                    failed.computeIfAbsent(
                            expectation.name(),
                            key ->
                                    result.failure
                                            + "; story: "
                                            + describe(shorten(expectation, sequence)));
                } else if (result.applied) {
                    heldIn.computeIfAbsent(expectation.name(), key -> new LinkedHashSet<>())
                            .add(description);
                }
            }
            if (!applied) {
                neverApplied.add(expectation.name());
            }
        }
        if (expectations.search() != null) {
            search(expectations, failed);
        }
        return new CheckReport(
                failed,
                contradictions(expectations, heldIn, failedIn),
                neverApplied,
                sequencesRun.sum(),
                internalErrors.intValue());
    }

    private void checkNames(Expectation expectation, String field) {
        if (expectation.product() != null
                && scenario.products().stream()
                        .noneMatch(
                                requestClass ->
                                        requestClass.name().equals(expectation.product()))) {
            throw new IllegalArgumentException(
                    field + ".product: \"" + expectation.product() + "\" is no product of the day");
        }
        if (expectation.zone() != null && !scenario.zones().contains(expectation.zone())) {
            throw new IllegalArgumentException(
                    field + ".zone: \"" + expectation.zone() + "\" is none of " + scenario.zones());
        }
        if (expectation.events().size() > 4) {
            throw new IllegalArgumentException(field + ".events: more than 4");
        }
    }

    // Whom events strike.

    private List<List<InjectedEvent>> sequencesOf(List<Event> events) {
        List<List<InjectedEvent>> sequences = new ArrayList<>(List.of(List.of()));
        for (Event event : events) {
            List<List<InjectedEvent>> extended = new ArrayList<>();
            for (List<InjectedEvent> before : sequences) {
                for (InjectedEvent injected : injections(event, before)) {
                    boolean repeated =
                            before.stream()
                                    .anyMatch(
                                            earlier ->
                                                    earlier.kind.equals(injected.kind)
                                                            && earlier.endpoints.equals(
                                                                    injected.endpoints)
                                                            && !injected.endpoints.isEmpty());
                    if (!repeated && extended.size() < MAX_SEQUENCES) {
                        List<InjectedEvent> sequence = new ArrayList<>(before);
                        sequence.add(injected);
                        extended.add(sequence);
                    }
                }
            }
            sequences = extended;
        }
        return sequences;
    }

    private List<InjectedEvent> injections(Event event, List<InjectedEvent> before) {
        List<InjectedEvent> choices = new ArrayList<>();
        switch (event.what()) {
            case "more", "restarts" ->
                    choices.add(
                            new InjectedEvent(
                                    event.what(), "", List.of(), event.after(), event.size()));
            case "zoneLost" -> {
                for (int zone = 0; zone < scenario.zones().size(); zone++) {
                    if (event.one() == null || event.one().equals(scenario.zones().get(zone))) {
                        choices.add(
                                new InjectedEvent(
                                        event.what(),
                                        "zone " + scenario.zones().get(zone),
                                        endpointsInZone(zone),
                                        event.after(),
                                        event.size()));
                    }
                }
            }
            case "returns", "zoneReturns" -> {
                InjectedEvent previous = before.isEmpty() ? null : before.get(before.size() - 1);
                if (previous != null && !previous.endpoints.isEmpty()) {
                    choices.add(
                            new InjectedEvent(
                                    event.what(),
                                    previous.target,
                                    previous.endpoints,
                                    event.after(),
                                    event.size()));
                }
            }
            default -> {
                for (int i = 0; i < scenario.replicas().count(); i++) {
                    if (event.one() == null || event.one().equals(Integer.toString(i))) {
                        choices.add(
                                new InjectedEvent(
                                        event.what(),
                                        "replica " + i,
                                        List.of(i),
                                        event.after(),
                                        event.size()));
                    }
                }
            }
        }
        return choices;
    }

    private List<Integer> endpointsInZone(int zone) {
        return IntStream.range(0, scenario.replicas().count())
                .filter(i -> i % scenario.zones().size() == zone)
                .boxed()
                .toList();
    }

    private static String describe(List<InjectedEvent> sequence) {
        return sequence.isEmpty()
                ? "the calm fleet"
                : String.join(", ", sequence.stream().map(InjectedEvent::describe).toList());
    }

    // One story.

    private CheckResult runSequence(Expectation expectation, List<InjectedEvent> sequence) {
        sequencesRun.increment();
        TrafficFlow flow = new TrafficFlow(scenario, config);
        flow.advance(SETTLE_MILLIS);
        List<TrafficFlow.FlowEndpoint> affected = List.of();
        for (InjectedEvent injected : sequence) {
            flow.advance(injected.delayMillis);
            List<TrafficFlow.FlowEndpoint> targets =
                    injected.endpoints.stream().map(flow.endpoints::get).toList();
            flow.apply(injected.kind, targets, injected.size);
            affected = targets.isEmpty() ? affected : targets;
        }
        boolean early = expectation.expect().equals("gentle");
        if (!early) {
            flow.advance(expectation.within());
        }
        CheckResult result = CheckResult.NOT_APPLICABLE;
        for (double end = flow.now() + (early ? expectation.within() : expectation.holds());
                flow.now() < end; ) {
            flow.advance(CHECK_INTERVAL);
            for (int requestClass = 0; requestClass < scenario.products().size(); requestClass++) {
                if (expectation.product() == null
                        || expectation
                                .product()
                                .equals(scenario.products().get(requestClass).name())) {
                    CheckResult current = evaluate(expectation, flow, affected, requestClass);
                    if (current.failed()) {
                        internalErrors.add(flow.internalErrors);
                        return CheckResult.failed(
                                "%s: %s",
                                scenario.products().get(requestClass).name(), current.failure);
                    }
                    result = current.applied ? current : result;
                }
            }
        }
        internalErrors.add(flow.internalErrors);
        return result;
    }

    private CheckResult evaluate(
            Expectation expectation,
            TrafficFlow flow,
            List<TrafficFlow.FlowEndpoint> affected,
            int requestClass) {
        switch (expectation.expect()) {
            case "noTraffic":
                List<TrafficFlow.FlowEndpoint> unavailable =
                        flow.endpoints.stream().filter(endpoint -> !endpoint.isReady()).toList();
                return unavailable.stream()
                        .filter(endpoint -> flow.trafficShare(endpoint, requestClass) > 0)
                        .findFirst()
                        .map(
                                endpoint ->
                                        CheckResult.failed(
                                                "replica %d gets %.1f%%",
                                                endpoint.position,
                                                100 * flow.trafficShare(endpoint, requestClass)))
                        .orElse(CheckResult.held(!unavailable.isEmpty()));
            case "aLine":
                return flow.minReadyEntries(requestClass) == 0
                        ? CheckResult.failed("a proxy has no line to a replica that is ready")
                        : CheckResult.HELD;
            case "zonePart":
                for (int zoneIndex = 0; zoneIndex < scenario.zones().size(); zoneIndex++) {
                    int zone = zoneIndex;
                    double share =
                            flow.endpoints.stream()
                                    .filter(endpoint -> endpoint.zone == zone)
                                    .mapToDouble(
                                            endpoint -> flow.trafficShare(endpoint, requestClass))
                                    .sum();
                    if ((expectation.zone() == null
                                    || expectation.zone().equals(scenario.zones().get(zoneIndex)))
                            && (share > expectation.atMost() || share < expectation.atLeast())) {
                        return CheckResult.failed(
                                "zone %s gets %.1f%%",
                                scenario.zones().get(zoneIndex), 100 * share);
                    }
                }
                return CheckResult.HELD;
            case "follows":
                List<TrafficFlow.FlowEndpoint> ready =
                        flow.endpoints.stream()
                                .filter(
                                        endpoint ->
                                                endpoint.isReady()
                                                        && flow.serves(endpoint, requestClass))
                                .toList();
                double capacity = ready.stream().mapToDouble(endpoint -> endpoint.capacity).sum();
                for (TrafficFlow.FlowEndpoint endpoint : ready) {
                    double deviation =
                            Math.abs(
                                    flow.trafficShare(endpoint, requestClass)
                                                    / (endpoint.capacity / capacity)
                                            - 1);
                    if (deviation > expectation.atMost()) {
                        return CheckResult.failed(
                                "replica %d gets %.1f%%, and is %.1f%% of what the fleet can do",
                                endpoint.position,
                                100 * flow.trafficShare(endpoint, requestClass),
                                100 * endpoint.capacity / capacity);
                    }
                }
                return CheckResult.held(!ready.isEmpty());
            case "gentle":
                for (TrafficFlow.FlowEndpoint endpoint : affected) {
                    double mean =
                            1.0
                                    / Math.max(
                                            1,
                                            flow.endpoints.stream()
                                                    .filter(
                                                            other ->
                                                                    other.isReady()
                                                                            && flow.serves(
                                                                                    other,
                                                                                    requestClass))
                                                    .count());
                    if (endpoint.isReady()
                            && flow.serves(endpoint, requestClass)
                            && flow.trafficShare(endpoint, requestClass)
                                    > expectation.atMost() * mean) {
                        return CheckResult.failed(
                                "replica %d gets %.1f%% already, the mean is %.1f%%",
                                endpoint.position,
                                100 * flow.trafficShare(endpoint, requestClass),
                                100 * mean);
                    }
                }
                return CheckResult.held(!affected.isEmpty());
            default:
                double admitted = flow.admittedShare(requestClass);
                return admitted < expectation.atLeast() || admitted > expectation.atMost()
                        ? CheckResult.failed("%.0f%% is let in", 100 * admitted)
                        : CheckResult.HELD;
        }
    }

    /** Leaves out what the failure does not need. */
    private List<InjectedEvent> shorten(Expectation expectation, List<InjectedEvent> sequence) {
        List<InjectedEvent> shortest = sequence;
        for (int i = 0; i < shortest.size(); ) {
            List<InjectedEvent> shorter = new ArrayList<>(shortest);
            shorter.remove(i);
            if (runSequence(expectation, shorter).failed()) {
                shortest = shorter;
            } else {
                i++;
            }
        }
        return shortest;
    }

    // Beyond what is written.

    /** Sequences of failures, against the expectations that hold of any fleet. */
    private void search(Expectations expectations, Map<String, String> failed) {
        List<Expectation> general =
                expectations.expectations().stream()
                        .filter(
                                expectation ->
                                        expectation.expect().equals("noTraffic")
                                                || expectation.expect().equals("aLine"))
                        .toList();
        List<List<InjectedEvent>> sequences = new ArrayList<>();
        for (int depth = 1; depth <= expectations.search().depth(); depth++) {
            List<List<Event>> kinds = new ArrayList<>(List.of(List.of()));
            for (int i = 0; i < depth; i++) {
                kinds =
                        kinds.stream()
                                .flatMap(
                                        prefix ->
                                                expectations.search().kinds().stream()
                                                        .map(
                                                                kind -> {
                                                                    List<Event> extended =
                                                                            new ArrayList<>(prefix);
                                                                    extended.add(
                                                                            new Event(
                                                                                    kind,
                                                                                    null,
                                                                                    expectations
                                                                                            .search()
                                                                                            .apart(),
                                                                                    1));
                                                                    return extended;
                                                                }))
                                .toList();
            }
            kinds.forEach(prefix -> sequences.addAll(sequencesOf(prefix)));
        }
        Collections.shuffle(sequences, new Random(scenario.seed()));
        for (Expectation expectation : general) {
            if (!failed.containsKey(expectation.name())) {
                sequences
                        .subList(0, Math.min(sequences.size(), expectations.search().most()))
                        .parallelStream()
                        .filter(sequence -> runSequence(expectation, sequence).failed())
                        .findFirst()
                        .ifPresent(
                                sequence -> {
                                    List<InjectedEvent> minimal = shorten(expectation, sequence);
                                    failed.put(
                                            expectation.name(),
                                            runSequence(expectation, minimal).failure
                                                    + "; story found: "
                                                    + describe(minimal));
                                });
            }
        }
    }

    /**
     * Bounds of one thing that leave no room between them, and pairs that never held in one story
     * though each was tried there.
     */
    private static List<String> contradictions(
            Expectations expectations,
            Map<String, Set<String>> held,
            Map<String, Set<String>> failed) {
        List<String> pairs = new ArrayList<>();
        List<Expectation> list = expectations.expectations();
        for (int i = 0; i < list.size(); i++) {
            for (int j = i + 1; j < list.size(); j++) {
                Expectation first = list.get(i);
                Expectation second = list.get(j);
                boolean sameSubject =
                        first.expect().equals(second.expect())
                                && java.util.Objects.equals(first.zone(), second.zone())
                                && (first.product() == null
                                        || second.product() == null
                                        || first.product().equals(second.product()))
                                && first.events().equals(second.events());
                if (sameSubject
                        && (first.atLeast() > second.atMost()
                                || second.atLeast() > first.atMost())) {
                    pairs.add(
                            "\""
                                    + first.name()
                                    + "\" and \""
                                    + second.name()
                                    + "\": at least "
                                    + Math.max(first.atLeast(), second.atLeast())
                                    + " and at most "
                                    + Math.min(first.atMost(), second.atMost())
                                    + " of the same");
                } else if (first.events().equals(second.events())
                        && neverHeldTogether(
                                held.getOrDefault(first.name(), Set.of()),
                                failed.getOrDefault(second.name(), Set.of()))
                        && neverHeldTogether(
                                held.getOrDefault(second.name(), Set.of()),
                                failed.getOrDefault(first.name(), Set.of()))) {
                    pairs.add(
                            "\""
                                    + first.name()
                                    + "\" and \""
                                    + second.name()
                                    + "\": wherever one held the other failed");
                }
            }
        }
        return pairs;
    }

    private static boolean neverHeldTogether(Set<String> held, Set<String> failed) {
        return !held.isEmpty() && failed.containsAll(held);
    }
}
