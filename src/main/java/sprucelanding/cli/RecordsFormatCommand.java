package sprucelanding.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sprucelanding.config.records.RecordFormatter;

/** Formats files of records in place. */
@Command(
        name = "fmt",
        mixinStandardHelpOptions = true,
        description = "Formats files in place and lists those that change.")
final class RecordsFormatCommand implements Callable<Integer> {
    @Option(names = "--check", description = "write no file; exit 1 if a file would change")
    private boolean checkOnly;

    @Parameters(paramLabel = "FILE", arity = "1..*")
    private Path[] files;

    @Override
    public Integer call() throws Exception {
        int differences = 0;
        for (Path file : files) {
            String text = Files.readString(file);
            String formatted = RecordFormatter.format(file.toString(), text);
            if (!formatted.equals(text)) {
                differences++;
                System.out.println(file);
                if (!checkOnly) {
                    Files.writeString(file, formatted);
                }
            }
        }
        return ExitCode.of(!checkOnly || differences == 0);
    }
}
