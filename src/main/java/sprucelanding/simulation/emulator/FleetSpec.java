package sprucelanding.simulation.emulator;

import java.util.List;
import java.util.function.IntFunction;
import sprucelanding.config.governor.GovernorConfig;
import sprucelanding.simulation.scenario.Scenario;

/**
 * Specification of an emulated fleet and of the events of its run.
 *
 * @param scenario scenario that gives the rules, clients, proxies and zones
 * @param durationMillis ms for which clients send requests
 * @param endpointSpecs all endpoints; service discovery lists them from the start
 * @param governorConfigs configuration of each governor
 * @param policy policy that sets the proxies' tables
 * @param demand gives the demand of a proxy's clients by the proxy's number
 * @param faultPlan faults of the run
 * @param seed seed of all random draws except the demand: picks, delays, failures
 */
record FleetSpec(
        Scenario scenario,
        double durationMillis,
        List<EndpointSpec> endpointSpecs,
        List<GovernorConfig> governorConfigs,
        RoutingPolicy policy,
        IntFunction<Demand> demand,
        FaultPlan faultPlan,
        long seed) {}
