package sprucelanding.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sprucelanding.config.governor.GovernorComponents;
import sprucelanding.config.governor.GovernorConfig;
import sprucelanding.control.core.DirectInput;
import sprucelanding.replay.capture.Capture;
import sprucelanding.replay.capture.CaptureEvent;
import sprucelanding.replay.capture.DecisionReplay;
import sprucelanding.replay.capture.EventType;

/** What can be done with a capture. */
@Command(
        name = "capture",
        mixinStandardHelpOptions = true,
        description = "Shows captures, and decides again from them.",
        subcommands = {CaptureCommand.Show.class, CaptureCommand.Decide.class})
final class CaptureCommand {
    private CaptureCommand() {}

    private static void printTruncation(Capture capture) {
        if (capture.truncation() != null) {
            System.out.println("it ends before the file does: " + capture.truncation());
        }
        capture.gaps()
                .forEach(
                        gap ->
                                System.out.printf(
                                        Locale.ROOT,
                                        "%d events were dropped, over %.0f ms%n",
                                        gap.events(),
                                        gap.to() - gap.from()));
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "Lists what a capture holds.")
    static final class Show implements Callable<Integer> {
        @Parameters(paramLabel = "FILE")
        private Path file;

        @Option(names = "--what", split = ",", description = "only these: ${COMPLETION-CANDIDATES}")
        private List<EventType> what;

        @Option(names = "--side", split = ",", description = "only these: ${COMPLETION-CANDIDATES}")
        private List<EventType.EventSource> side;

        @Option(names = "--from", description = "s from its begin", defaultValue = "0")
        private double from;

        @Option(names = "--to", description = "s from its begin", defaultValue = "1e9")
        private double to;

        @Option(names = "--replica", description = "only what names it first")
        private Long replica;

        @Option(names = "--counts", description = "only how many of each")
        private boolean countsOnly;

        @Override
        public Integer call() throws IOException {
            Capture capture = Capture.read(file);
            Map<EventType, Long> countsByType = new EnumMap<>(EventType.class);
            double[] firstEventAt = {Double.NaN};
            capture.forEachEvent(
                    event -> {
                        if (event == null) {
                            System.out.println("-- events were dropped here --");
                            return;
                        }
                        firstEventAt[0] =
                                Double.isNaN(firstEventAt[0]) ? event.at() : firstEventAt[0];
                        double seconds = (event.at() - firstEventAt[0]) / 1000;
                        if (seconds >= from
                                && seconds <= to
                                && (what == null || what.contains(event.type()))
                                && (side == null || side.contains(event.type().source))
                                && (replica == null || namesEndpoint(event))) {
                            if (countsOnly) {
                                countsByType.merge(event.type(), 1L, Long::sum);
                            } else {
                                System.out.println(event.format(firstEventAt[0]));
                            }
                        }
                    });
            countsByType.forEach(
                    (type, count) -> System.out.printf(Locale.ROOT, "%-12s %10d%n", type, count));
            printTruncation(capture);
            return 0;
        }

        private boolean namesEndpoint(CaptureEvent event) {
            return event.fields().stream()
                    .filter(Long.class::isInstance)
                    .findFirst()
                    .map(replica::equals)
                    .orElse(false);
        }
    }

    @Command(
            name = "decide",
            mixinStandardHelpOptions = true,
            description =
                    "Gives the module the same events again, and compares its orders to the last bit.")
    static final class Decide implements Callable<Integer> {
        @Parameters(paramLabel = "FILE")
        private Path file;

        @Override
        public Integer call() throws Exception {
            Capture capture = Capture.read(file);
            GovernorConfig config =
                    GovernorConfig.parse(file + " (its station)", capture.configText(), null, null);
            DecisionReplay replay =
                    new DecisionReplay(new DirectInput(GovernorComponents.controller(config)));
            capture.forEachEvent(replay::onEvent);
            System.out.printf(
                    Locale.ROOT,
                    "%d decisions, %d orders%n",
                    replay.decisionCount(),
                    replay.orderCount());
            printTruncation(capture);
            System.out.println(replay.stopReason().orElse("the same, to the last bit"));
            return replay.stopReason().isEmpty() ? 0 : 1;
        }
    }
}
