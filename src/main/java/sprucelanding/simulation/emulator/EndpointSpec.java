package sprucelanding.simulation.emulator;

import java.util.ArrayList;
import java.util.List;
import sprucelanding.simulation.model.EndpointModel;
import sprucelanding.simulation.scenario.Scenario;

/**
 * One endpoint of an emulated fleet.
 *
 * @param id its id in discovery
 * @param zone index of its zone
 * @param kind index of its kind
 * @param capacity what it can do
 */
record EndpointSpec(long id, int zone, int kind, EndpointModel.Capacity capacity) {
    private static final long FIRST_ID = 1000;

    /** The endpoints of a scenario, spread over its zones. */
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

    /** The capacity of an endpoint of a kind, at a speed of its own. */
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
