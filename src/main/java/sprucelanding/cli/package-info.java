/**
 * The command line. {@link sprucelanding.cli.Main} starts the simulator adapter and the governor in
 * service without any of the libraries; all else goes through {@code Commands}, the root of the
 * subcommands. Each subcommand is a class of its own, named after it ({@code day} is {@code
 * DayCommand}), that reads options, calls the packages that do the work, and prints.
 *
 * <p>Exit codes are those of {@code ExitCode}. Names of option fields and of enum constants show in
 * the help as labels and values; {@code RecordedHelpTest} holds them.
 */
package sprucelanding.cli;
