package sprucelanding.runtime.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import sprucelanding.control.decision.HealthCheckResult;
import sprucelanding.control.decision.StateFigures;
import sprucelanding.control.settings.MalformedInputException;

/**
 * A spoilt message of a client is dropped as a whole or taken as far as it is plausible. Whatever
 * arrives, decisions end, every figure of their state is finite, and a sequence of which all spoilt
 * messages were dropped leads to the same updates as the good messages alone.
 */
class SpoiltMessagesTest {
    private static final int ENDPOINTS = 10;
    private static final int PROXIES = 6;
    private static final double STEP_MS = 250;
    private static final int STEPS = 64;
    private static final int STEPS_PER_REPORT = 4;

    /** From this step on, requests are shed. */
    private static final int OVERLOAD_STEP = 36;

    private static final List<Map<String, String>> GOOD_MESSAGES =
            List.of(
                    message(
                            "usage",
                            Map.of(
                                    "sidecar", "1",
                                    "kind", "\"near\"",
                                    "n", "8",
                                    "bad", "0",
                                    "window", "1000.0")),
                    message(
                            "heard",
                            Map.of(
                                    "az", "\"north\"",
                                    "host", "\"e-4\"",
                                    "n", "30",
                                    "bad", "2",
                                    "avg", "41.5",
                                    "window", "1000.0",
                                    "report", "{\"cpu_share\":0.6,\"pending\":3}")),
                    message("applied", Map.of("sidecar", "1", "version", "1", "lag_ms", "310.4")),
                    message(
                            "joined",
                            Map.of(
                                    "sidecar", "7",
                                    "az", "\"south\"",
                                    "share", "21.5",
                                    "standing", "true")));

    /** Field values; null stands for an absent field. */
    private static final List<String> SPOILT_VALUES =
            List.of(
                    "null",
                    "true",
                    "\"x\"",
                    "[]",
                    "{}",
                    "{\"cpu_share\":6.9e-310}",
                    "{\"cpu_share\":-1}",
                    "4.9e-324",
                    "6.9e-310",
                    "1e-9",
                    "0",
                    "-0.0",
                    "0.5",
                    "-1",
                    "1e7",
                    "1e300",
                    "1e999",
                    "-1e999",
                    "\"NaN\"");

    /** A message and the step before which it arrives. */
    record Arrival(int step, String line) {}

    private static Map<String, String> message(String type, Map<String, String> fields) {
        Map<String, String> message = new LinkedHashMap<>();
        message.put("msg", "\"" + type + "\"");
        message.putAll(fields);
        return message;
    }

    private static String line(Map<String, String> fields) {
        return fields.entrySet().stream()
                .filter(field -> field.getValue() != null)
                .map(field -> "\"" + field.getKey() + "\":" + field.getValue())
                .collect(Collectors.joining(",", "{", "}"));
    }

    @Provide
    Arbitrary<List<Arrival>> spoiltMessages() {
        Arbitrary<String> spoilt =
                Arbitraries.of(GOOD_MESSAGES)
                        .flatMap(
                                good ->
                                        Combinators.combine(
                                                        Arbitraries.of(good.keySet()),
                                                        Arbitraries.of(SPOILT_VALUES)
                                                                .injectNull(0.1))
                                                .as((field, value) -> spoil(good, field, value)));
        return Combinators.combine(Arbitraries.integers().between(4, STEPS - 1), spoilt)
                .as(Arrival::new)
                .list()
                .ofMinSize(1)
                .ofMaxSize(12);
    }

    private static String spoil(Map<String, String> good, String field, String value) {
        Map<String, String> spoilt = new LinkedHashMap<>(good);
        spoilt.put(field, value);
        return line(spoilt);
    }

    /** Guards against a hang, and against figures that are not finite, after spoilt messages. */
    @Property(tries = 150, seed = "46")
    void everySpoiltMessageCostsOnlyItself(@ForAll("spoiltMessages") List<Arrival> arrivals) {
        List<Arrival> accepted = new ArrayList<>();
        String updates = run(arrivals, accepted);
        assertEquals(run(accepted, new ArrayList<>()), updates);
    }

    /** Runs a governor that receives good reports and the given messages; returns its updates. */
    private static String run(List<Arrival> arrivals, List<Arrival> accepted) {
        VirtualGovernor governor = new VirtualGovernor(endpoint -> HealthCheckResult.OK);
        governor.applyList(VirtualGovernor.readyList(41, ENDPOINTS), ListOrigin.LAST_RUN);
        for (int step = 0; step < STEPS; step++) {
            governor.advance(STEP_MS);
            if (step == 1) {
                joinProxies(governor);
            }
            for (Arrival arrival : arrivals) {
                if (arrival.step == step && isAccepted(governor, arrival.line)) {
                    accepted.add(arrival);
                }
            }
            if (step % STEPS_PER_REPORT == 3) {
                reportLoad(governor, step < OVERLOAD_STEP ? 0.6 : 0.78);
            }
            governor.decide();
            assertEquals(List.of(), StateFigures.invalidFiguresOf(governor.controller));
        }
        return governor.transcript.toString();
    }

    private static void joinProxies(VirtualGovernor governor) {
        IntStream.range(0, PROXIES)
                .forEach(
                        proxy ->
                                governor.joinProxy(
                                        proxy, proxy % 2 == 0 ? "north" : "south", 20, true));
    }

    private static boolean isAccepted(VirtualGovernor governor, String line) {
        try {
            governor.receive(line);
            return true;
        } catch (MalformedInputException e) {
            return false;
        }
    }

    private static void reportLoad(VirtualGovernor governor, double load) {
        for (int number = 1; number <= ENDPOINTS; number++) {
            governor.reportStats("e-" + number, 30, 0, 40, load);
        }
        for (int proxy = 0; proxy < PROXIES; proxy++) {
            governor.controller.demandReported(proxy, proxy % 3, 25, 1000);
        }
    }

    private static final Map<String, String> GOOD_ENTRY =
            Map.of(
                    "uid", "\"e-3\"",
                    "endpoint", "\"127.0.0.1:9003\"",
                    "az", "\"south\"",
                    "model", "\"slim\"",
                    "pod_group", "1",
                    "state", "\"ready\"",
                    "capacity_hint", "1.0",
                    "boot_ms", "1700000001000");

    @Provide
    Arbitrary<List<String>> spoiltLists() {
        Arbitrary<String> value = Arbitraries.of(SPOILT_VALUES).injectNull(0.1);
        Arbitrary<String> entry =
                Combinators.combine(Arbitraries.of(GOOD_ENTRY.keySet()), value)
                        .as((field, spoilt) -> spoil(GOOD_ENTRY, field, spoilt));
        Arbitrary<String> revision = Arbitraries.of("42", "42.0", "4.2e1", "-1", "1e999", "null");
        return Combinators.combine(revision, Arbitraries.of("true", "false"), entry)
                .as(
                        (rev, all, spoilt) ->
                                "{\"rev\":%s,\"all\":%s,\"targets\":[%s,%s]}"
                                        .formatted(
                                                rev,
                                                all,
                                                spoilt,
                                                VirtualGovernor.entry(2, "draining", 0)))
                .list()
                .ofMinSize(1)
                .ofMaxSize(6);
    }

    /** Guards against lists that are applied to the directory but not to the decisions. */
    @Property(tries = 150, seed = "47")
    void spoiltListIsAppliedOrRejected(@ForAll("spoiltLists") List<String> lists) {
        VirtualGovernor governor = new VirtualGovernor(endpoint -> HealthCheckResult.OK);
        governor.applyList(VirtualGovernor.readyList(41, ENDPOINTS), ListOrigin.LAST_RUN);
        joinProxies(governor);
        for (String list : lists) {
            try {
                governor.applyList(list, ListOrigin.DISCOVERY);
            } catch (MalformedInputException e) {
                // the list as a whole is malformed, and the whole list is requested
            }
            for (int step = 0; step < STEPS_PER_REPORT; step++) {
                governor.advance(STEP_MS);
                governor.decide();
            }
            assertEquals(List.of(), StateFigures.invalidFiguresOf(governor.controller));
        }
    }
}
