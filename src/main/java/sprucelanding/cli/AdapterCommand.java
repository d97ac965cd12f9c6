package sprucelanding.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import sprucelanding.simulation.simulator.SimulatorAdapter;

/**
 * Subcommand {@code adapter}, defined for the help. {@link Main} starts the adapter without this
 * class.
 */
@Command(
        name = "adapter",
        description = "Serves the simulator protocol on standard input and output.")
final class AdapterCommand implements Callable<Integer> {
    @Override
    public Integer call() {
        return new SimulatorAdapter(System.in, System.out, System.err).run();
    }
}
