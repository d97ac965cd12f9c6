package sprucelanding.cli;

import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import picocli.CommandLine;
import sprucelanding.recorded.Recorded;

/**
 * The help of each command: its options, the words that they take, and the labels of their values,
 * some of which the library derives from names of fields and enum constants. Nothing is masked.
 * Recordings are written with {@code -Drecorded.write=true} only and never edited later: a
 * difference is a defect of the step.
 */
@Timeout(60)
class RecordedHelpTest {
    @Test
    void theHelpOfEachCommandIsAsRecorded() throws Exception {
        StringBuilder text = new StringBuilder();
        append(text, new CommandLine(Commands.class));
        Recorded.assertText("reports/help.txt", text.toString());
    }

    private static void append(StringBuilder text, CommandLine command) {
        text.append("== ").append(command.getCommandSpec().qualifiedName()).append('\n');
        text.append(command.getUsageMessage(CommandLine.Help.Ansi.OFF));
        new TreeMap<>(command.getSubcommands()).values().forEach(each -> append(text, each));
    }
}
