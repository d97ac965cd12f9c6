package sprucelanding.cli;

import sprucelanding.runtime.server.GovernorServer;
import sprucelanding.simulation.simulator.SimulatorAdapter;

/**
 * The program's door. The adapter and the governor in service start at once; all else through
 * Commands, which brings the libraries in.
 */
public final class Main {
    private Main() {}

    public static void main(String[] args) {
        if (args.length == 1 && args[0].equals("adapter")) {
            System.exit(new SimulatorAdapter(System.in, System.out, System.err).run());
        }
        if (args.length == 1 && args[0].equals("serve")) {
            System.exit(GovernorServer.run(System.getenv(), System.err));
        }
        System.exit(Commands.run(args));
    }
}
