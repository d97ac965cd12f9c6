package sprucelanding;

import java.util.Arrays;
import org.junit.jupiter.api.Test;
import sprucelanding.capture.What;
import sprucelanding.capture.estimate.Spell;
import sprucelanding.day.Day;
import sprucelanding.decision.DrainTracker;
import sprucelanding.delivery.Kind;
import sprucelanding.emulator.Policy;
import sprucelanding.fleet.Peers;
import sprucelanding.model.Tables;
import sprucelanding.recorded.Recorded;
import sprucelanding.roster.Entry;

/**
 * Names of enum constants that are printed, logged, stored, or read from options and files, in
 * their order, on which stored numbers and printed maps depend. Recordings are written with {@code
 * -Drecorded.write=true} only and never edited later: a difference is a defect of the step.
 */
class RecordedPrintedNamesTest {
    @Test
    void constantsAreNamedAndOrderedAsRecorded() throws Exception {
        StringBuilder text = new StringBuilder();
        append(text, "captured event", What.values());
        append(text, "side of a captured event", What.Side.values());
        append(text, "estimated spell", Spell.What.values());
        append(text, "whose tables, option of day", Day.Tables.values());
        append(text, "whose tables, option of emulate", Policy.values());
        append(text, "kind of a message", Kind.values());
        append(text, "stage of a listed replica", Entry.Stage.values());
        append(text, "how a proxy picks", Tables.Pick.values());
        append(text, "state of a peer", Peers.State.values());
        append(text, "cause of a late removal", DrainTracker.Cause.values());
        append(text, "purpose of booked lines", ChannelBudget.Purpose.values());
        Recorded.assertText("reports/printed-names.txt", text.toString());
    }

    private static void append(StringBuilder text, String label, Enum<?>[] constants) {
        text.append(label).append(": ");
        text.append(String.join(" ", Arrays.stream(constants).map(String::valueOf).toList()));
        text.append('\n');
    }
}
