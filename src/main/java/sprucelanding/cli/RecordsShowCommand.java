package sprucelanding.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sprucelanding.config.records.Records;

/** Prints each field of a file of records with its value and its source. */
@Command(
        name = "show",
        mixinStandardHelpOptions = true,
        description = "The values that come of it, and where each was given.")
final class RecordsShowCommand implements Callable<Integer> {
    @Option(
            names = "--as",
            defaultValue = "station",
            description = "${COMPLETION-CANDIDATES} (default: ${DEFAULT-VALUE})")
    private RecordKind kind;

    @Parameters(paramLabel = "FILE")
    private Path file;

    @Override
    public Integer call() throws Exception {
        for (Records.ResolvedField field : kind.resolveFields(file)) {
            System.out.printf("%-44s %-28s %s%n", field.field(), field.value(), field.position());
        }
        return ExitCode.OK;
    }
}
