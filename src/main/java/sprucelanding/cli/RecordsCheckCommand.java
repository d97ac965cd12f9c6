package sprucelanding.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sprucelanding.config.records.InvalidRecordsException;

/** Prints all faults of files of records. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Reports all faults of files with file, line, column and field.")
final class RecordsCheckCommand implements Callable<Integer> {
    @Option(
            names = "--as",
            description = "kind: ${COMPLETION-CANDIDATES} (default: by the content)")
    private RecordKind kind;

    @Parameters(
            paramLabel = "FILE",
            arity = "1..*",
            description = "files, or folders that are one package each")
    private Path[] files;

    @Override
    public Integer call() throws Exception {
        int faults = 0;
        for (Path file : files) {
            try {
                RecordKind fileKind = kind == null ? RecordKind.guess(file) : kind;
                fileKind.check(file);
                System.out.println(file + ": well");
            } catch (InvalidRecordsException | IllegalArgumentException e) {
                faults++;
                System.out.println(e.getMessage());
            }
        }
        return faults == 0 ? ExitCode.OK : ExitCode.UNUSABLE_INPUT;
    }
}
