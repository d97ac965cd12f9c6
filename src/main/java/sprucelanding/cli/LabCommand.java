package sprucelanding.cli;

import picocli.CommandLine.Command;

/** Group of the subcommands for experiments in virtual time. */
@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        description = "Runs experiments (scenarios x settings x seeds) in virtual time.",
        subcommands = {
            LabRunCommand.class,
            LabCompareCommand.class,
            LabShowCommand.class,
            LabSearchCommand.class
        })
final class LabCommand {
    private LabCommand() {}
}
