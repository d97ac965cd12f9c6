package sprucelanding.cli;

import picocli.CommandLine.Command;

/** The subcommands for files of records. */
@Command(
        name = "records",
        mixinStandardHelpOptions = true,
        description = "Files of typed records (docs/records.md).",
        subcommands = {
            RecordsCheckCommand.class,
            RecordsShowCommand.class,
            RecordsDiffCommand.class,
            RecordsFormatCommand.class
        })
final class RecordsCommand {
    private RecordsCommand() {}
}
