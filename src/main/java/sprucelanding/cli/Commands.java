package sprucelanding.cli;

import java.io.IOException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.ParseResult;
import sprucelanding.config.records.InvalidRecordsException;

/** Root of the subcommands. Maps their exceptions to exit codes. */
@Command(
        name = "sprucelanding",
        mixinStandardHelpOptions = true,
        version = "0.2.0",
        description = "Publishes routing tables to a fleet of plain proxies.",
        subcommands = {
            GovernCommand.class,
            DayCommand.class,
            RecordsCheckCommand.class,
            MeasureCommand.class,
            EditsCommand.class,
            AdapterCommand.class,
            CaptureCommand.class,
            EmulateCommand.class,
            ReplayCommand.class,
            LabCommand.class,
            LoadCommand.class,
            RecordsCommand.class,
            ExpectCommand.class,
            SoakCommand.class
        })
final class Commands {
    private Commands() {}

    /** Runs a subcommand and returns the program's {@link ExitCode}. */
    static int run(String[] args) {
        return new CommandLine(new Commands())
                .setExecutionExceptionHandler(Commands::exitCodeOf)
                .execute(args);
    }

    /**
     * Prints the fault of an unusable input. Rethrows other exceptions, which are program errors.
     */
    private static int exitCodeOf(Exception error, CommandLine commandLine, ParseResult parseResult)
            throws Exception {
        if (error instanceof IOException) {
            // The message is often only a path, so the exception class is printed too.
            commandLine.getErr().println(error);
            return ExitCode.UNUSABLE_INPUT;
        }
        if (error instanceof InvalidRecordsException || error instanceof IllegalArgumentException) {
            commandLine.getErr().println(error.getMessage());
            return ExitCode.UNUSABLE_INPUT;
        }
        throw error;
    }
}
