package sprucelanding.simulation.emulator;

import java.util.ArrayList;
import java.util.List;
import sprucelanding.simulation.model.EndpointModel;
import sprucelanding.simulation.scenario.Scenario;

/**
 * Specification of an endpoint of an emulated fleet.
 *
 * @param id id of the endpoint in service discovery
 * @param zone index of the zone
 * @param kind index of the machine kind
 * @param capacity capacity of the endpoint
 */
record EndpointSpec(long id, int zone, int kind, EndpointModel.Capacity capacity) {
    private static final long FIRST_ID = 1000;

    /** Returns the endpoints of a scenario, spread over the scenario's zones. */
    static List<EndpointSpec> ofScenario(Scenario scenario) {
        List<EndpointSpec> specs = new ArrayList<>();
        for (int i = 0; i < scenario.replicas().count(); i++) {
            int kind = scenario.endpointKind(i);
            specs.add(
                    new EndpointSpec(
                            FIRST_ID + i,
                            i % scenario.zones().size(),
                            kind,
                            capacity(scenario, kind, scenario.kinds().get(kind).speed())));
        }
        return specs;
    }

    /** Returns the capacity of an endpoint of a machine kind with its own core speed. */
    static EndpointModel.Capacity capacity(Scenario scenario, int kind, double speed) {
        Scenario.EndpointKind endpointKind = scenario.kinds().get(kind);
        return new EndpointModel.Capacity(
                endpointKind.cores(),
                speed,
                endpointKind.slots(),
                endpointKind.room(),
                scenario.replicas().coldFrom(),
                scenario.replicas().warmAfter(),
                scenario.replicas().connections());
    }
}
