package sprucereview2;

import com.eclipsesource.json.JsonObject;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Case 9: three replicas drain and are gone. A new configuration with SIGHUP moves discovery to an
 * agent that has not been sent this yet.
 */
final class MovedDiscovery extends ReviewCase {
    private static final int DRAINED = 3;

    /** How much later the second agent is sent a change, ms. */
    private static final double LAG = 2800;

    /** Times after the draining, ms. */
    private static final double GONE_AFTER = 2500;

    private static final double MOVED_AFTER = 600;
    private static final double OLD_AGENT_CLOSES_AFTER = 1500;

    public static void main(String[] arguments) {
        new MovedDiscovery().run(arguments[0]);
    }

    @Override
    Plan plan() {
        Plan plan = new Plan();
        plan.probes = false;
        plan.cores = 2.5;
        return plan;
    }

    @Override
    String[] rules() {
        return new String[] {"drain"};
    }

    @Override
    void play(Fleet fleet) throws Exception {
        Governor governor = fleet.governors.get(0);
        Discovery first = fleet.discoveries.get(0);
        Discovery second = new Discovery(fleet.record);
        List<Replica> sorted = new ArrayList<>(fleet.replicas.values());
        sorted.sort(Comparator.comparing(replica -> replica.uid));
        second.publish(entries(sorted, "ready"));
        fleet.sleepUntil(Recorder.now() + 12_000);
        double start = Recorder.now();
        List<Replica> three = sorted.subList(0, DRAINED);
        publish(fleet, second, entries(three, "draining"));
        fleet.at(
                start + GONE_AFTER,
                () -> {
                    three.forEach(Replica::stop);
                    publish(fleet, second, entries(three, "gone"));
                });
        fleet.sleepUntil(start + MOVED_AFTER);
        if (hasTrouble) {
            governor.writeConfig(
                    second.address(), first.known(), fleet.plan.settings(governor.number));
            governor.signal("HUP");
            Thread.sleep((long) OLD_AGENT_CLOSES_AFTER);
            first.close();
        }
        Thread.sleep(15_000);
    }

    /** Writes changes at the first agent now, and at the second one later. */
    private static void publish(Fleet fleet, Discovery second, List<JsonObject> changed) {
        fleet.publish(changed);
        fleet.at(Recorder.now() + LAG, () -> second.publish(changed));
    }

    private static List<JsonObject> entries(List<Replica> replicas, String state) {
        List<JsonObject> entries = new ArrayList<>();
        replicas.forEach(replica -> entries.add(replica.entry(state)));
        return entries;
    }
}
