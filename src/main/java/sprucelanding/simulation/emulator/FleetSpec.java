package sprucelanding.simulation.emulator;

import java.util.List;
import java.util.function.IntFunction;
import sprucelanding.config.governor.GovernorConfig;
import sprucelanding.simulation.scenario.Scenario;

/**
 * What an emulated fleet consists of, and what happens to it.
 *
 * @param scenario the rules, clients, proxies and zones
 * @param durationMillis ms for which clients send requests
 * @param endpointSpecs all endpoints, in discovery from the start
 * @param governorConfigs by governor
 * @param policy who sets the proxies' tables
 * @param demand by proxy
 * @param faultPlan the faults
 * @param seed of all that is not demand: picks, delays, failures
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
