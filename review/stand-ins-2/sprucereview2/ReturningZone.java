package sprucereview2;

import com.eclipsesource.json.JsonObject;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Case 7: the classes stay in the proxy's zone. All replicas of a zone are lost for 9 s and come
 * back cold at one time; the list tells of them one by one, 0.42 to 2.3 s after their start.
 */
final class ReturningZone extends ReviewCase {
    private static final double OUTAGE = 9000;
    private static final double LOSS_TOLD_AFTER = 2000;
    private static final double RETURN_TOLD_AFTER = 420;
    private static final double RETURN_TOLD_APART = 470;

    public static void main(String[] arguments) {
        new ReturningZone().run(arguments[0]);
    }

    @Override
    Plan plan() {
        Plan plan = new Plan();
        plan.homeOnly = new boolean[] {true, true};
        plan.cores = 2.5;
        return plan;
    }

    @Override
    String[] rules() {
        return new String[] {"cold"};
    }

    @Override
    void play(Fleet fleet) throws Exception {
        fleet.sleepUntil(Recorder.now() + 15_000);
        if (hasTrouble) {
            loseZone(fleet);
        }
        Thread.sleep(30_000);
    }

    private static void loseZone(Fleet fleet) {
        List<Replica> lost = new ArrayList<>(fleet.replicas.values());
        lost.removeIf(replica -> !replica.zone.equals(fleet.plan.zones[0]));
        lost.sort(Comparator.comparing(replica -> replica.uid));
        fleet.record.line("zone %s is lost", fleet.plan.zones[0]);
        lost.forEach(Replica::stop);
        double now = Recorder.now();
        fleet.at(
                now + LOSS_TOLD_AFTER,
                () -> {
                    List<JsonObject> entries = new ArrayList<>();
                    lost.forEach(replica -> entries.add(replica.entry("gone")));
                    fleet.publish(entries);
                });
        fleet.at(
                now + OUTAGE,
                () -> {
                    fleet.record.line("zone %s is back, cold", fleet.plan.zones[0]);
                    lost.forEach(Replica::restart);
                });
        for (int i = 0; i < lost.size(); i++) {
            Replica replica = lost.get(i);
            fleet.at(
                    now + OUTAGE + RETURN_TOLD_AFTER + i * RETURN_TOLD_APART,
                    () -> fleet.publish(List.of(replica.entry("ready"))));
        }
    }
}
