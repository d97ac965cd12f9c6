package sprucelanding.cli;

import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import sprucelanding.config.governor.GovernorComponents;
import sprucelanding.config.governor.GovernorConfig;
import sprucelanding.control.core.DirectInput;
import sprucelanding.replay.capture.Capture;
import sprucelanding.replay.capture.DecisionReplay;

/** Replays a capture's inputs to a controller and compares its orders with the recorded ones. */
@Command(
        name = "decide",
        mixinStandardHelpOptions = true,
        description = "Replays a capture's inputs and compares the orders bit for bit.")
final class CaptureDecideCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE")
    private Path file;

    @Override
    public Integer call() throws Exception {
        Capture capture = Capture.read(file);
        GovernorConfig config =
                GovernorConfig.parse(
                        file + " (its governor configuration)", capture.configText(), null, null);
        DecisionReplay replay =
                new DecisionReplay(new DirectInput(GovernorComponents.createController(config)));
        capture.forEachEvent(replay::onEvent);
        System.out.printf(
                Locale.ROOT,
                "%d decisions, %d orders%n",
                replay.decisionCount(),
                replay.orderCount());
        CaptureCommand.printProblems(capture);
        System.out.println(replay.stopReason().orElse("the same, to the last bit"));
        return ExitCode.of(replay.stopReason().isEmpty());
    }
}
