package sprucelanding.cli;

import picocli.CommandLine.Command;

/** The subcommands for experiments in virtual time. */
@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        description = "Experiments in virtual time: days x settings x seeds.",
        subcommands = {
            LabRunCommand.class,
            LabCompareCommand.class,
            LabShowCommand.class,
            LabSearchCommand.class
        })
final class LabCommand {
    private LabCommand() {}
}
