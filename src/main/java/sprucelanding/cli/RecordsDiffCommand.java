package sprucelanding.cli;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sprucelanding.config.records.Records;

/** Prints the fields whose values differ between two files of records. */
@Command(
        name = "diff",
        mixinStandardHelpOptions = true,
        description = "Lists fields whose values differ; exits 1 if there are any.")
final class RecordsDiffCommand implements Callable<Integer> {
    @Option(
            names = "--as",
            defaultValue = "station",
            description = "kind: ${COMPLETION-CANDIDATES} (default: ${DEFAULT-VALUE})")
    private RecordKind kind;

    @Parameters(index = "0", paramLabel = "BEFORE")
    private Path before;

    @Parameters(index = "1", paramLabel = "AFTER")
    private Path after;

    @Override
    public Integer call() throws Exception {
        Map<String, Records.ResolvedField> removedByName = new LinkedHashMap<>();
        kind.resolveFields(before).forEach(field -> removedByName.put(field.field(), field));
        int differences = 0;
        for (Records.ResolvedField field : kind.resolveFields(after)) {
            Records.ResolvedField previous = removedByName.remove(field.field());
            if (previous == null || !previous.value().equals(field.value())) {
                differences++;
                System.out.printf(
                        "%s: %s -> %s (%s)%n",
                        field.field(),
                        previous == null ? "none" : previous.value(),
                        field.value(),
                        field.position());
            }
        }
        for (Records.ResolvedField removed : removedByName.values()) {
            differences++;
            System.out.printf(
                    "%s: %s -> none (%s)%n", removed.field(), removed.value(), removed.position());
        }
        return ExitCode.of(differences == 0);
    }
}
