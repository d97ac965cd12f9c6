package sprucelanding.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import sprucelanding.Choice;
import sprucelanding.capture.Log;
import sprucelanding.capture.Overheard;
import sprucelanding.core.Inputs;
import sprucelanding.day.Script;
import sprucelanding.day.Truth;
import sprucelanding.recorded.Recorded;
import sprucelanding.rules.Seen;

/**
 * Captures of a short emulated day: both governors' and what the stand-ins knew of the
 * transactions. The day is in virtual time, so nothing is masked. Recordings are written with
 * {@code -Drecorded.write=true} only and never edited later: a difference is a defect of the step.
 */
@Timeout(60)
class RecordedDayCaptureTest {
    private static final int QUEUED_BLOCKS = 10_000;
    private static final long LARGEST_FILE = 1 << 20;
    private static final List<String> CAPTURES =
            List.of("governor-0.cap", "governor-1.cap", "truth.cap");
    private static final Inputs NOBODY =
            (Inputs)
                    java.lang.reflect.Proxy.newProxyInstance(
                            Inputs.class.getClassLoader(),
                            new Class<?>[] {Inputs.class},
                            (self, method, args) -> null);

    @TempDir private Path folder;

    @Test
    void theCapturesOfADayAreWrittenAsRecorded() throws Exception {
        Script day = Script.read(Recorded.file("lab/day.cue"));
        List<Log> open = new ArrayList<>();
        Log truth = log("truth.cap", "", open);
        Emulation.play(
                day,
                day.lasts(),
                Emulation.stations(day, null, null),
                Policy.GOVERNORS,
                new Emulation.Ears() {
                    @Override
                    public Overheard.Sink capture(int governor, int life) {
                        String station =
                                day.station(
                                        governor,
                                        "127.0.0.1:1",
                                        "at: \"127.0.0.1:2\"",
                                        day.peers(governor, n -> "127.0.0.1:3", ""));
                        return log("governor-" + governor + ".cap", station, open)::put;
                    }

                    @Override
                    public void saw(Seen each) {
                        Truth.put(each, truth::put);
                    }
                });
        open.forEach(Log::close);
        for (String capture : CAPTURES) {
            Recorded.assertBytes("day/" + capture, Files.readAllBytes(folder.resolve(capture)));
        }
    }

    private Log log(String name, String station, List<Log> open) {
        try {
            Log log =
                    new Log(
                            folder.resolve(name),
                            station,
                            QUEUED_BLOCKS,
                            LARGEST_FILE,
                            fault -> {
                                throw new AssertionError(fault);
                            });
            open.add(log);
            return log;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Test
    void stagesAnswersAndOutcomesHaveTheirNumbers() {
        List<Object> stages = new ArrayList<>();
        Overheard list = new Overheard(NOBODY, (at, what, fields) -> stages.add(fields[5]));
        list.listed(1, 0, 0, 1, 0, Choice.Stage.READY);
        list.listed(1, 0, 0, 1, 0, Choice.Stage.MISSING);
        list.listed(1, 0, 0, 1, 0, Choice.Stage.DRAINING);
        list.listed(1, 0, 0, 1, 0, Choice.Stage.GONE);
        assertEquals(List.of(0, 1, 2, 3), stages);
        List<Object> answers = new ArrayList<>();
        Overheard probes = new Overheard(NOBODY, (at, what, fields) -> answers.add(fields[1]));
        probes.probed(1, Choice.Answer.OK, 0);
        probes.probed(1, Choice.Answer.BUSY, 0);
        probes.probed(1, Choice.Answer.ERROR, 0);
        probes.probed(1, Choice.Answer.SILENT, 0);
        probes.probed(1, Choice.Answer.UNREACHABLE, 0);
        probes.probed(1, Choice.Answer.NONE, 0);
        assertEquals(List.of(0, 1, 2, 3, 4, 5), answers);
        List<Object> outcomes = new ArrayList<>();
        Overheard.Sink ends = (at, what, fields) -> outcomes.add(fields[3]);
        Truth.put(new Seen.Ended(0, 0, 1, Seen.Outcome.IN_TIME, 0), ends);
        Truth.put(new Seen.Ended(0, 0, 1, Seen.Outcome.LATE, 0), ends);
        Truth.put(new Seen.Ended(0, 0, 1, Seen.Outcome.DECLINED, 0), ends);
        Truth.put(new Seen.Ended(0, 0, 1, Seen.Outcome.VOIDED, 0), ends);
        assertEquals(List.of(0, 1, 2, 3), outcomes);
    }
}
