package sprucelanding.simulation.expectation;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import sprucelanding.simulation.expectation.Expectations.Event;
import sprucelanding.simulation.scenario.Scenario;

/** A generator of event sequences for all endpoints and zones that the events can affect. */
final class SequenceGenerator {
    private static final int MAX_SEQUENCES = 200_000;

    private final Scenario scenario;

    SequenceGenerator(Scenario scenario) {
        this.scenario = scenario;
    }

    /** Returns the sequences for a list of events; one empty sequence if the list is empty. */
    List<EventSequence> sequencesOf(List<Event> events) {
        List<EventSequence> sequences = List.of(EventSequence.EMPTY);
        for (Event event : events) {
            List<EventSequence> extended = new ArrayList<>();
            for (EventSequence before : sequences) {
                for (InjectedEvent injected : injections(event, before)) {
                    if (extended.size() < MAX_SEQUENCES && !before.containsRepetitionOf(injected)) {
                        extended.add(before.with(injected));
                    }
                }
            }
            sequences = extended;
        }
        return sequences;
    }

    /** Returns the sequences that a search can try, with the shortest first. */
    List<EventSequence> sequencesOf(Expectations.Search search) {
        List<EventSequence> sequences = new ArrayList<>();
        List<List<Event>> prefixes = List.of(List.of());
        for (int depth = 1; depth <= search.depth(); depth++) {
            prefixes = extend(prefixes, search);
            prefixes.forEach(events -> sequences.addAll(sequencesOf(events)));
        }
        return sequences;
    }

    private static List<List<Event>> extend(
            List<List<Event>> prefixes, Expectations.Search search) {
        List<List<Event>> extended = new ArrayList<>();
        for (List<Event> prefix : prefixes) {
            for (String kind : search.kinds()) {
                List<Event> events = new ArrayList<>(prefix);
                events.add(new Event(kind, null, search.apart(), 1));
                extended.add(events);
            }
        }
        return extended;
    }

    private List<InjectedEvent> injections(Event event, EventSequence before) {
        EventKind kind = EventKind.of(event.what());
        return switch (kind) {
            case DEMAND_CHANGES, GOVERNOR_RESTARTS ->
                    List.of(injection(event, kind, "", List.of()));
            case ZONE_ENDS -> zoneInjections(event, kind);
            case ENDPOINT_RETURNS, ZONE_RETURNS -> returnInjections(event, kind, before);
            case ENDPOINT_ENDS, ENDPOINT_DRAINS, UTILIZATION_FORCED ->
                    endpointInjections(event, kind);
        };
    }

    private static InjectedEvent injection(
            Event event, EventKind kind, String target, List<Integer> endpoints) {
        return new InjectedEvent(kind, target, endpoints, event.after(), event.size());
    }

    private List<InjectedEvent> zoneInjections(Event event, EventKind kind) {
        List<InjectedEvent> injections = new ArrayList<>();
        for (int zone = 0; zone < scenario.zones().size(); zone++) {
            String name = scenario.zones().get(zone);
            if (event.one() == null || event.one().equals(name)) {
                injections.add(injection(event, kind, "zone " + name, endpointsInZone(zone)));
            }
        }
        return injections;
    }

    /** Returns the event on the endpoints of the previous event; empty if there are none. */
    private static List<InjectedEvent> returnInjections(
            Event event, EventKind kind, EventSequence before) {
        return before.last()
                .filter(previous -> !previous.endpoints().isEmpty())
                .map(
                        previous ->
                                List.of(
                                        injection(
                                                event,
                                                kind,
                                                previous.target(),
                                                previous.endpoints())))
                .orElse(List.of());
    }

    private List<InjectedEvent> endpointInjections(Event event, EventKind kind) {
        List<InjectedEvent> injections = new ArrayList<>();
        for (int i = 0; i < scenario.replicas().count(); i++) {
            if (event.one() == null || event.one().equals(Integer.toString(i))) {
                injections.add(injection(event, kind, "replica " + i, List.of(i)));
            }
        }
        return injections;
    }

    private List<Integer> endpointsInZone(int zone) {
        return IntStream.range(0, scenario.replicas().count())
                .filter(endpoint -> endpoint % scenario.zones().size() == zone)
                .boxed()
                .toList();
    }
}
