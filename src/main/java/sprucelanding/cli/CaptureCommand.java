package sprucelanding.cli;

import java.util.Locale;
import picocli.CommandLine.Command;
import sprucelanding.replay.capture.Capture;

/** Group of the subcommands for captures. Prints the problems that both subcommands report. */
@Command(
        name = "capture",
        mixinStandardHelpOptions = true,
        description = "Shows captures and replays their decisions.",
        subcommands = {CaptureShowCommand.class, CaptureDecideCommand.class})
final class CaptureCommand {
    private CaptureCommand() {}

    /**
     * Prints why a capture is truncated and how many events were dropped.
     *
     * @param capture a capture whose events have all been read
     */
    static void printProblems(Capture capture) {
        if (capture.truncation() != null) {
            System.out.println("it ends before the file does: " + capture.truncation());
        }
        for (Capture.Gap gap : capture.gaps()) {
            System.out.printf(
                    Locale.ROOT,
                    "%d events were dropped, over %.0f ms%n",
                    gap.events(),
                    gap.to() - gap.from());
        }
    }
}
