package sprucelanding.cli;

import sprucelanding.runtime.server.GovernorServer;
import sprucelanding.simulation.simulator.SimulatorAdapter;

/**
 * The program's entry point.
 *
 * <p>Starts the simulator adapter and the governor in service directly, because memory and start
 * time are scarce there. Passes all other commands to {@link Commands}, which loads more libraries.
 */
public final class Main {
    private static final String ADAPTER_COMMAND = "adapter";
    private static final String SERVE_COMMAND = "serve";

    private Main() {}

    /** Runs the command that the arguments name and exits with its exit code. */
    public static void main(String[] args) {
        if (args.length == 1 && args[0].equals(ADAPTER_COMMAND)) {
            System.exit(new SimulatorAdapter(System.in, System.out, System.err).run());
        }
        if (args.length == 1 && args[0].equals(SERVE_COMMAND)) {
            System.exit(GovernorServer.run(System.getenv(), System.err));
        }
        System.exit(Commands.run(args));
    }
}
