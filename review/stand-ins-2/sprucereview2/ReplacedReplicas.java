package sprucereview2;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Case 6: six in ten replicas are replaced within 7 s. Each drains, its successor is listed at the
 * same time, and its process ends 3 s after.
 */
final class ReplacedReplicas extends ReviewCase {
    private static final double REPLACED_SHARE = 0.6;
    private static final double SPAN = 7000;

    public static void main(String[] arguments) {
        new ReplacedReplicas().run(arguments[0]);
    }

    @Override
    Plan plan() {
        Plan plan = new Plan();
        plan.replicas = 30;
        plan.proxies = 24;
        plan.requestsPerSecond = 220;
        return plan;
    }

    @Override
    String[] rules() {
        return new String[] {"drain"};
    }

    @Override
    void play(Fleet fleet) throws Exception {
        fleet.sleepUntil(Recorder.now() + 25_000);
        List<Replica> replicas = new ArrayList<>(fleet.replicas.values());
        replicas.sort(Comparator.comparing(replica -> replica.uid));
        int count = (int) (REPLACED_SHARE * replicas.size());
        for (int i = 0; i < count && hasTrouble; i++) {
            replace(fleet, replicas.get(i), "n-" + (100 + i));
            Thread.sleep((long) (SPAN / count));
        }
        Thread.sleep(12_000);
    }

    private static void replace(Fleet fleet, Replica old, String uid) throws Exception {
        Replica successor = fleet.addReplica(uid, old.zone);
        successor.restart();
        fleet.publish(List.of(old.entry("draining"), successor.entry()));
        fleet.at(
                Recorder.now() + 3000,
                () -> {
                    old.stop();
                    fleet.publish(List.of(old.entry("gone")));
                });
    }
}
