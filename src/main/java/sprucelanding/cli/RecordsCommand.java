package sprucelanding.cli;

import picocli.CommandLine.Command;

/** Group of the subcommands for files of records. */
@Command(
        name = "records",
        mixinStandardHelpOptions = true,
        description = "Checks, shows and formats files of records (docs/records.md).",
        subcommands = {
            RecordsCheckCommand.class,
            RecordsShowCommand.class,
            RecordsDiffCommand.class,
            RecordsFormatCommand.class
        })
final class RecordsCommand {
    private RecordsCommand() {}
}
