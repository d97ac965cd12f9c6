/**
 * The command line. {@link sprucelanding.cli.Main} starts the simulator adapter and the governor in
 * service without loading libraries. {@code Commands}, the root of the subcommands, runs all other
 * commands. Each subcommand is one class that is named after the subcommand ({@code day} is {@code
 * DayCommand}). The class reads options, calls the packages that do the work, and prints results.
 *
 * <p>The exit codes are defined in {@code ExitCode}. The help prints the names of option fields as
 * labels and the names of enum constants as values, so {@code RecordedHelpTest} checks them.
 */
package sprucelanding.cli;
