package sprucelanding.simulation.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import sprucelanding.config.records.InvalidRecordsException;
import sprucelanding.replay.capture.RecordingInput;
import sprucelanding.simulation.rules.TraceEvent;
import sprucelanding.simulation.scenario.Scenario;

/**
 * Emulated runs decide what they decided when they were recorded, to the last bit.
 *
 * <p>Each line of {@code recorded/decisions.txt} is one run: its name, its seed, the number of
 * orders that all governors gave, and a digest of these orders. The recording is written by this
 * class when it runs with {@code -Drecorded.write=true}; otherwise it is compared.
 *
 * <p>Never edit or rewrite a recording after the text before: a difference is a defect of the step
 * that shows it. Only a change that is meant to decide otherwise may write a new one, and says so.
 */
class RecordedDecisionsTest {
    private static final boolean WRITE_RECORDING = Boolean.getBoolean("recorded.write");
    private static final Path RECORDED = Path.of("src/test/resources/recorded");
    private static final Path RECORDING = RECORDED.resolve("decisions.txt");
    private static final Path EXAMPLES = Path.of("examples");
    private static final Path SETTINGS = EXAMPLES.resolve("settings");

    /** Files of examples that are no scenarios. */
    private static final Set<String> NON_SCENARIOS = Set.of("expect.cue", "lab.cue");

    /** Milliseconds for which an example is played at most. */
    private static final double EXAMPLE_MILLIS = 30_000;

    /** Milliseconds for which the example of shared governors is played. */
    private static final double HANDOVER_MILLIS = 50_000;

    /** Milliseconds for which an example is played with other settings. */
    private static final double WITH_SETTINGS_MILLIS = 15_000;

    /** How many seeds each of the scenarios beside the examples is played with. */
    private static final long SEEDS = 3;

    /** An overlay on a governor's configuration that admits by rates. */
    private static final String ADMITS_BY_RATE = "admits: \"rate\"\n";

    /**
     * One scenario to play.
     *
     * @param name its name in the recording
     * @param scenario with its seed
     * @param durationMillis ms for which it is played
     * @param settings overlay on each governor's configuration; null for none
     */
    private record RecordedScenario(
            String name, Scenario scenario, double durationMillis, String settings) {
        String key() {
            return name + " " + scenario.seed();
        }

        /** Plays it; its line in the recording. */
        String play() throws InvalidRecordsException {
            RecordedDigest digest = new RecordedDigest();
            Emulation.EmulationListener listener =
                    new Emulation.EmulationListener() {
                        @Override
                        public RecordingInput.Sink openCapture(int governor, int incarnation) {
                            return (at, eventType, fields) ->
                                    digest.addDecision(
                                            governor, incarnation, at, eventType, fields);
                        }

                        @Override
                        public void onEvent(TraceEvent event) {
                            // the order in which streams end differs from process to process
                        }
                    };
            Emulation.Result result =
                    Emulation.play(
                            scenario,
                            durationMillis,
                            Emulation.governorConfigs(scenario, name, settings),
                            RoutingPolicy.GOVERNORS,
                            listener);
            assertEquals(0, result.internalErrors(), key());
            assertTrue(digest.count() > 0, key());
            return key() + " " + digest.summary();
        }
    }

    @BeforeAll
    static void writeRecordingIfRequested() throws Exception {
        if (!WRITE_RECORDING) {
            return;
        }
        List<String> lines = new ArrayList<>();
        for (RecordedScenario scenario : scenarios()) {
            lines.add(scenario.play());
        }
        Files.write(RECORDING, lines);
    }

    @TestFactory
    Stream<DynamicTest> scenariosDecideAsRecorded() throws Exception {
        List<String> recorded = Files.readAllLines(RECORDING);
        return scenarios().stream()
                .map(
                        scenario ->
                                DynamicTest.dynamicTest(
                                        scenario.key(),
                                        () ->
                                                assertEquals(
                                                        find(recorded, scenario),
                                                        scenario.play())));
    }

    @Test
    void recordingCoversExactlyTheseScenarios() throws Exception {
        List<String> keys = scenarios().stream().map(RecordedScenario::key).toList();
        List<String> recorded =
                Files.readAllLines(RECORDING).stream().map(RecordedDecisionsTest::key).toList();
        assertEquals(keys, recorded);
        assertEquals(keys.size(), Set.copyOf(keys).size());
    }

    private static String find(List<String> recorded, RecordedScenario scenario) {
        return recorded.stream()
                .filter(line -> key(line).equals(scenario.key()))
                .findFirst()
                .orElse("not recorded: " + scenario.key());
    }

    /** Name and seed of a line of the recording. */
    private static String key(String line) {
        return line.substring(0, line.indexOf(' ', line.indexOf(' ') + 1));
    }

    private static List<RecordedScenario> scenarios() throws Exception {
        List<RecordedScenario> scenarios = new ArrayList<>(examples());
        scenarios.addAll(examplesWithSettings());
        for (String name : List.of("small", "medium", "leases", "large")) {
            for (long seed = 1; seed <= SEEDS; seed++) {
                scenarios.add(ownScenario(name, seed, null));
            }
        }
        scenarios.add(ownScenario("small", SEEDS + 1, ADMITS_BY_RATE));
        scenarios.add(ownScenario("medium", SEEDS + 1, ADMITS_BY_RATE));
        return scenarios;
    }

    /** All scenarios of the examples, shortened. */
    private static List<RecordedScenario> examples() throws Exception {
        List<RecordedScenario> scenarios = new ArrayList<>();
        for (String file : scenarioFiles(EXAMPLES)) {
            if (!NON_SCENARIOS.contains(file)) {
                Scenario scenario = Scenario.read(EXAMPLES.resolve(file));
                double maxMillis = scenario.governors().shared() ? HANDOVER_MILLIS : EXAMPLE_MILLIS;
                scenarios.add(
                        new RecordedScenario(
                                file,
                                shortened(scenario, maxMillis),
                                Math.min(scenario.lasts(), maxMillis),
                                null));
            }
        }
        return scenarios;
    }

    /** The scenario of a bad day with each of the examples' settings, and with seeds of its own. */
    private static List<RecordedScenario> examplesWithSettings() throws Exception {
        List<RecordedScenario> scenarios = new ArrayList<>();
        Scenario scenario = Scenario.read(EXAMPLES.resolve("bad-day-both.cue"));
        long seed = 100;
        for (String file : scenarioFiles(SETTINGS)) {
            scenarios.add(
                    new RecordedScenario(
                            "bad-day-both.cue+" + file,
                            scenario.withSeed(seed++),
                            WITH_SETTINGS_MILLIS,
                            Files.readString(SETTINGS.resolve(file))));
        }
        return scenarios;
    }

    private static RecordedScenario ownScenario(String name, long seed, String settings)
            throws Exception {
        Scenario scenario =
                Scenario.read(RECORDED.resolve("days").resolve(name + ".cue")).withSeed(seed);
        return new RecordedScenario(name, scenario, scenario.lasts(), settings);
    }

    /**
     * The same scenario with its first faults brought forward, if none of them falls in the time
     * for which it is played; else as it is.
     */
    private static Scenario shortened(Scenario scenario, double durationMillis) {
        boolean hasFault =
                scenario.allFaults().stream().anyMatch(fault -> fault.at() < durationMillis);
        if (hasFault || scenario.troubles().isEmpty()) {
            return scenario;
        }
        double factor = durationMillis / scenario.lasts();
        return scenario.withFaults(
                scenario.troubles().stream()
                        .map(
                                fault ->
                                        new Scenario.Fault(
                                                fault.at() * factor,
                                                Math.min(fault.lasts(), durationMillis / 10),
                                                fault.what(),
                                                fault.part(),
                                                fault.size(),
                                                fault.zone()))
                        .toList());
    }

    private static Set<String> scenarioFiles(Path folder) throws IOException {
        try (Stream<Path> paths = Files.list(folder)) {
            return paths.map(file -> file.getFileName().toString())
                    .filter(name -> name.endsWith(".cue"))
                    .collect(Collectors.toCollection(TreeSet::new));
        }
    }
}
