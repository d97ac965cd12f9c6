package sprucelanding.emulator;

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
import sprucelanding.capture.Overheard;
import sprucelanding.day.Script;
import sprucelanding.records.Invalid;
import sprucelanding.rules.Seen;

/**
 * Emulated days decide what they decided when they were recorded, to the last bit.
 *
 * <p>Each line of {@code recorded/decisions.txt} is one day: its name, its seed, the number of
 * orders that all governors gave, and a digest of these orders. The recording is written by this
 * class when it runs with {@code -Drecorded.write=true}; otherwise it is compared.
 *
 * <p>Never edit or rewrite a recording after the text before: a difference is a defect of the step
 * that shows it. Only a change that is meant to decide otherwise may write a new one, and says so.
 */
class RecordedDecisionsTest {
    private static final boolean WRITES = Boolean.getBoolean("recorded.write");
    private static final Path RECORDED = Path.of("src/test/resources/recorded");
    private static final Path RECORDING = RECORDED.resolve("decisions.txt");
    private static final Path EXAMPLES = Path.of("examples");
    private static final Path SETTINGS = EXAMPLES.resolve("settings");

    /** Files of examples that are no days. */
    private static final Set<String> NO_DAYS = Set.of("expect.cue", "lab.cue");

    /** Milliseconds for which an example is played at most. */
    private static final double EXAMPLE_LASTS = 30_000;

    /** Milliseconds for which the example of shared governors is played. */
    private static final double HANDOVER_LASTS = 50_000;

    /** Milliseconds for which an example is played with other settings. */
    private static final double WITH_SETTINGS_LASTS = 15_000;

    /** With how many seeds each of the days beside the examples is played. */
    private static final long SEEDS = 3;

    /** What is laid over a station so that it admits by rates. */
    private static final String ADMITS_BY_RATE = "admits: \"rate\"\n";

    /**
     * One day to play.
     *
     * @param name of this day in the recording
     * @param lasts ms for which it is played
     * @param settings laid over each governor's station; null for none
     */
    private record Day(String name, Script script, double lasts, String settings) {
        String key() {
            return name + " " + script.seed();
        }

        /** Plays it; its line in the recording. */
        String play() throws Invalid {
            RecordedDigest orders = new RecordedDigest();
            Emulation.Ears ears =
                    new Emulation.Ears() {
                        @Override
                        public Overheard.Sink capture(int governor, int life) {
                            return (at, what, fields) ->
                                    orders.order(governor, life, at, what, fields);
                        }

                        @Override
                        public void saw(Seen event) {
                            // the order in which streams end differs from process to process
                        }
                    };
            Emulation.Result result =
                    Emulation.play(
                            script,
                            lasts,
                            Emulation.stations(script, name, settings),
                            Policy.GOVERNORS,
                            ears);
            assertEquals(0, result.bugs(), key());
            assertTrue(orders.count() > 0, key());
            return key() + " " + orders.line();
        }
    }

    @BeforeAll
    static void writeIfAsked() throws Exception {
        if (!WRITES) {
            return;
        }
        List<String> lines = new ArrayList<>();
        for (Day day : days()) {
            lines.add(day.play());
        }
        Files.write(RECORDING, lines);
    }

    @TestFactory
    Stream<DynamicTest> daysDecideAsRecorded() throws Exception {
        List<String> recorded = Files.readAllLines(RECORDING);
        return days().stream()
                .map(
                        day ->
                                DynamicTest.dynamicTest(
                                        day.key(),
                                        () -> assertEquals(find(recorded, day), day.play())));
    }

    @Test
    void theRecordingHasEachOfTheDaysAndNoOther() throws Exception {
        List<String> keys = days().stream().map(Day::key).toList();
        List<String> recorded =
                Files.readAllLines(RECORDING).stream().map(RecordedDecisionsTest::key).toList();
        assertEquals(keys, recorded);
        assertEquals(keys.size(), Set.copyOf(keys).size());
    }

    private static String find(List<String> recorded, Day day) {
        return recorded.stream()
                .filter(line -> key(line).equals(day.key()))
                .findFirst()
                .orElse("not recorded: " + day.key());
    }

    /** Name and seed of a line of the recording. */
    private static String key(String line) {
        return line.substring(0, line.indexOf(' ', line.indexOf(' ') + 1));
    }

    private static List<Day> days() throws Exception {
        List<Day> days = new ArrayList<>(examples());
        days.addAll(examplesWithSettings());
        for (String name : List.of("small", "medium", "leases", "large")) {
            for (long seed = 1; seed <= SEEDS; seed++) {
                days.add(own(name, seed, null));
            }
        }
        days.add(own("small", SEEDS + 1, ADMITS_BY_RATE));
        days.add(own("medium", SEEDS + 1, ADMITS_BY_RATE));
        return days;
    }

    /** All days of the examples, in short. */
    private static List<Day> examples() throws Exception {
        List<Day> days = new ArrayList<>();
        for (String file : files(EXAMPLES)) {
            if (!NO_DAYS.contains(file)) {
                Script script = Script.read(EXAMPLES.resolve(file));
                double most = script.governors().shared() ? HANDOVER_LASTS : EXAMPLE_LASTS;
                days.add(
                        new Day(
                                file,
                                shortened(script, most),
                                Math.min(script.lasts(), most),
                                null));
            }
        }
        return days;
    }

    /** The bad day with each of the examples' settings, and with seeds of its own. */
    private static List<Day> examplesWithSettings() throws Exception {
        List<Day> days = new ArrayList<>();
        Script script = Script.read(EXAMPLES.resolve("bad-day-both.cue"));
        long seed = 100;
        for (String file : files(SETTINGS)) {
            days.add(
                    new Day(
                            "bad-day-both.cue+" + file,
                            script.seeded(seed++),
                            WITH_SETTINGS_LASTS,
                            Files.readString(SETTINGS.resolve(file))));
        }
        return days;
    }

    private static Day own(String name, long seed, String settings) throws Exception {
        Script script = Script.read(RECORDED.resolve("days").resolve(name + ".cue")).seeded(seed);
        return new Day(name, script, script.lasts(), settings);
    }

    /**
     * The same day with its first troubles brought forward, if none of them falls in the time for
     * which it is played; else as it is.
     */
    private static Script shortened(Script script, double lasts) {
        boolean struck = script.allTroubles().stream().anyMatch(t -> t.at() < lasts);
        if (struck || script.troubles().isEmpty()) {
            return script;
        }
        double times = lasts / script.lasts();
        return script.struck(
                script.troubles().stream()
                        .map(
                                t ->
                                        new Script.Trouble(
                                                t.at() * times,
                                                Math.min(t.lasts(), lasts / 10),
                                                t.what(),
                                                t.part(),
                                                t.size(),
                                                t.zone()))
                        .toList());
    }

    private static Set<String> files(Path folder) throws IOException {
        try (Stream<Path> all = Files.list(folder)) {
            return all.map(file -> file.getFileName().toString())
                    .filter(name -> name.endsWith(".cue"))
                    .collect(Collectors.toCollection(TreeSet::new));
        }
    }
}
