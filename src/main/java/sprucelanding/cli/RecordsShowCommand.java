package sprucelanding.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sprucelanding.config.records.Records;

/** Prints each field of a file of records with its value and the position of the value. */
@Command(
        name = "show",
        mixinStandardHelpOptions = true,
        description = "Prints each field with its value and position.")
final class RecordsShowCommand implements Callable<Integer> {
    @Option(
            names = "--as",
            defaultValue = "station",
            description = "kind: ${COMPLETION-CANDIDATES} (default: ${DEFAULT-VALUE})")
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
