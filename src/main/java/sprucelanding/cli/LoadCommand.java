package sprucelanding.cli;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sprucelanding.simulation.scenario.LoadGenerator;
import sprucelanding.simulation.scenario.Scenario;

/** Sends the requests of a scenario to proxies that are already running. */
@Command(
        name = "load",
        mixinStandardHelpOptions = true,
        description = "Sends requests open loop; waits count from the scheduled arrival.")
final class LoadCommand implements Callable<Integer> {
    @Parameters(
            paramLabel = "SCRIPT",
            description = "scenario with the request classes and clients")
    private Path scenarioFile;

    @Option(
            names = "--to",
            required = true,
            split = ",",
            paramLabel = "HOST:PORT",
            description = "addresses of the proxies")
    private String[] proxyAddresses;

    @Option(
            names = "--txns",
            description = "total requests per second (default: as in the scenario)")
    private double txns;

    @Option(names = "--seconds", defaultValue = "30")
    private double seconds;

    @Override
    public Integer call() throws Exception {
        Scenario scenario = Scenario.read(scenarioFile);
        List<InetSocketAddress> proxies =
                Arrays.stream(proxyAddresses)
                        .map(address -> SocketAddresses.parse(address, "--to"))
                        .toList();
        StringBuilder table = new StringBuilder();
        new LoadGenerator(scenario, proxies, txns > 0 ? txns : scenario.txns())
                .run(seconds * 1000, table);
        System.out.print(table);
        return ExitCode.OK;
    }
}
