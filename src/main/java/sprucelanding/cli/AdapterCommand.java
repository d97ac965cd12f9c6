package sprucelanding.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import sprucelanding.simulation.simulator.SimulatorAdapter;

/** Stands here for the help; {@link Main} starts the adapter without this class. */
@Command(
        name = "adapter",
        description = "The decisions on the simulator's wire, standard input and output.")
final class AdapterCommand implements Callable<Integer> {
    @Override
    public Integer call() {
        return new SimulatorAdapter(System.in, System.out, System.err).run();
    }
}
