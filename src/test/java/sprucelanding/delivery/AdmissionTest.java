package sprucelanding.delivery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Stories of many that dial at once. */
class AdmissionTest implements Admission.Acts {
    private final List<Integer> in = new ArrayList<>();
    private final List<Integer> away = new ArrayList<>();

    @Override
    public void admit(int proxy) {
        in.add(proxy);
    }

    @Override
    public void turnAway(int proxy, String why) {
        away.add(proxy);
    }

    private void pull(Admission admission) {
        while (admission.decide(this)) {
            continue;
        }
    }

    @Test
    void allDialAtOnceAndComeInByTurnsThoseWithoutTablesFirst() {
        Admission admission = new Admission(16, 1000, 10_000);
        for (int i = 0; i < 209; i++) {
            admission.dialled(i, i >= 200);
        }
        pull(admission);
        assertEquals(16, in.size());
        assertTrue(in.containsAll(List.of(200, 204, 208)));
        for (int next = 0; next < in.size(); next++) {
            admission.laid(in.get(next));
            pull(admission);
        }
        assertEquals(209, in.stream().distinct().count());
        assertEquals(List.of(), away);
    }

    @Test
    void whoWaitsTooLongOrIsOneTooManyTriesAnotherGovernor() {
        Admission admission = new Admission(1, 3, 5000);
        for (int i = 0; i < 4; i++) {
            admission.dialled(i, false);
        }
        pull(admission);
        assertEquals(List.of(0), in);
        assertEquals(List.of(3), away);
        admission.clock(6000);
        pull(admission);
        assertEquals(List.of(3, 1, 2), away);
        admission.left(0);
        admission.dialled(5, true);
        pull(admission);
        assertEquals(List.of(0, 5), in);
    }

    @Test
    void oneThatDiesWhileItIsLaidFreesItsPlace() {
        Admission admission = new Admission(1, 10, 5000);
        admission.dialled(1, true);
        admission.dialled(2, true);
        pull(admission);
        admission.left(1);
        pull(admission);
        assertEquals(List.of(1, 2), in);
    }
}
