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
import sprucelanding.replay.capture.Capture;
import sprucelanding.replay.capture.CaptureEvent;
import sprucelanding.replay.capture.EventType;

/** Prints the events of a capture, or the number of events of each type. */
@Command(
        name = "show",
        mixinStandardHelpOptions = true,
        description = "Lists the events of a capture.")
final class CaptureShowCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE")
    private Path file;

    @Option(
            names = "--what",
            split = ",",
            description = "print only events of these types: ${COMPLETION-CANDIDATES}")
    private List<EventType> what;

    @Option(
            names = "--side",
            split = ",",
            description = "print only events of these sources: ${COMPLETION-CANDIDATES}")
    private List<EventType.EventSource> side;

    @Option(
            names = "--from",
            description = "start, in seconds after the first event",
            defaultValue = "0")
    private double from;

    @Option(
            names = "--to",
            description = "end, in seconds after the first event",
            defaultValue = "1e9")
    private double to;

    @Option(names = "--replica", description = "print only events whose first id is this")
    private Long replica;

    @Option(names = "--counts", description = "print only the number of events of each type")
    private boolean countsOnly;

    private final Map<EventType, Long> countsByType = new EnumMap<>(EventType.class);
    private double firstEventMs = Double.NaN; // NaN until the first event

    @Override
    public Integer call() throws IOException {
        Capture capture = Capture.read(file);
        capture.forEachEvent(this::onEvent);
        countsByType.forEach(
                (type, count) -> System.out.printf(Locale.ROOT, "%-12s %10d%n", type, count));
        CaptureCommand.printProblems(capture);
        return ExitCode.OK;
    }

    private void onEvent(CaptureEvent event) {
        if (event == null) {
            System.out.println("-- events were dropped here --");
            return;
        }
        if (Double.isNaN(firstEventMs)) {
            firstEventMs = event.at();
        }
        if (!isWanted(event)) {
            return;
        }
        if (countsOnly) {
            countsByType.merge(event.type(), 1L, Long::sum);
        } else {
            System.out.println(event.format(firstEventMs));
        }
    }

    private boolean isWanted(CaptureEvent event) {
        double seconds = (event.at() - firstEventMs) / 1000;
        return seconds >= from
                && seconds <= to
                && (what == null || what.contains(event.type()))
                && (side == null || side.contains(event.type().source))
                && (replica == null || namesEndpoint(event));
    }

    /** Returns whether the first id among the event's fields is the id of the wanted endpoint. */
    private boolean namesEndpoint(CaptureEvent event) {
        return event.fields().stream()
                .filter(Long.class::isInstance)
                .findFirst()
                .map(replica::equals)
                .orElse(false);
    }
}
