package sprucelanding.cli;

import java.util.Locale;
import picocli.CommandLine.Command;
import sprucelanding.replay.capture.Capture;

/** The subcommands for captures, and what they print alike. */
@Command(
        name = "capture",
        mixinStandardHelpOptions = true,
        description = "Shows captures, and decides again from them.",
        subcommands = {CaptureShowCommand.class, CaptureDecideCommand.class})
final class CaptureCommand {
    private CaptureCommand() {}

    /** Prints where a capture ends early and what it lacks; its events must have been read. */
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
