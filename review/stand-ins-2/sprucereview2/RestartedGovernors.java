package sprucereview2;

import com.eclipsesource.json.JsonObject;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Queue;

/**
 * Case 8: half of the replicas are replaced in steps, also without the disruption. The two
 * governors are restarted one at a time meanwhile.
 */
final class RestartedGovernors extends ReviewCase {
    private static final double REPLACED_SHARE = 0.5;
    private static final double REPLACED_EVERY = 900;
    private static final double FIRST_RESTART = 8000;
    private static final double RESTARTS_APART = 12_000;
    private static final double DOWN = 4000;
    private static final double PLAYED = 30_000;

    public static void main(String[] arguments) {
        new RestartedGovernors().run(arguments[0]);
    }

    @Override
    Plan plan() {
        Plan plan = new Plan();
        plan.governors = 2;
        plan.replicas = 50;
        plan.proxies = 100;
        plan.requestsPerSecond = 1000;
        plan.cores = 4.5;
        return plan;
    }

    @Override
    String[] rules() {
        return new String[] {"drain"};
    }

    @Override
    void play(Fleet fleet) throws Exception {
        List<Replica> sorted = new ArrayList<>(fleet.replicas.values());
        sorted.sort(Comparator.comparing(replica -> replica.uid));
        Queue<Replica> remaining =
                new ArrayDeque<>(sorted.subList(0, (int) (REPLACED_SHARE * sorted.size())));
        fleet.sleepUntil(Recorder.now() + 5000);
        double start = Recorder.now();
        for (int i = 0; i < fleet.governors.size() && hasTrouble; i++) {
            Governor governor = fleet.governors.get(i);
            fleet.at(start + FIRST_RESTART + i * RESTARTS_APART, () -> restart(fleet, governor));
        }
        for (int i = 0; !remaining.isEmpty(); i++) {
            fleet.sleepUntil(start + i * REPLACED_EVERY);
            replace(fleet, remaining.remove(), "n-" + (100 + i));
        }
        fleet.sleepUntil(start + PLAYED);
    }

    private static void restart(Fleet fleet, Governor governor) {
        JsonObject known = fleet.discoveryOf(governor).known();
        fleet.isReachable.set(governor.number, false);
        governor.signal("TERM");
        fleet.at(
                Recorder.now() + DOWN,
                () -> {
                    fleet.restartGovernor(governor, known);
                    fleet.isReachable.set(governor.number, true);
                });
    }

    private static void replace(Fleet fleet, Replica old, String uid) throws Exception {
        Replica successor = fleet.addReplica(uid, old.zone);
        successor.restart();
        fleet.publish(List.of(old.entry("draining"), successor.entry()));
        fleet.at(
                Recorder.now() + 4000,
                () -> {
                    old.stop();
                    fleet.publish(List.of(old.entry("gone")));
                });
    }
}
