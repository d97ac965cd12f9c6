package sprucelanding.control.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class BindBudgetTest {
    private final BindBudget budget = new BindBudget(4, 500);

    @Test
    void noDeadlineMeansNoLimit() {
        assertEquals(
                BindBudget.UNLIMITED,
                budget.linesPerBind(0, new double[] {Double.POSITIVE_INFINITY}, 100, 1000, 0));
    }

    @Test
    void queuedLinesAndExpectedJoinsLeaveLess() {
        double[] ten = new double[10];
        Arrays.fill(ten, 4000);
        double alone = budget.linesPerBind(0, ten, 0, 0, 0);
        assertTrue(budget.linesPerBind(0, ten, 0, 0, 1000) <= alone - 100);
        assertEquals(alone / 2, budget.linesPerBind(0, ten, 10, 4000, 0), 1e-9);
    }

    @Test
    void bindThatCannotBeInTimeDoesNotStarveTheOthers() {
        double others = budget.linesPerBind(0, new double[] {4000, 4000}, 0, 0, 0);
        assertEquals(others, budget.linesPerBind(0, new double[] {400, 4000, 4000}, 0, 0, 0));
    }

    /**
     * Binds of that size, one after the other by their deadlines, are all in time even at the full
     * reserve.
     */
    @Property(tries = 500)
    void allBindsAreInTimeAtThatSize(
            @ForAll @Size(min = 1, max = 60)
                    List<@DoubleRange(min = 600, max = 9000) Double> deadlines,
            @ForAll @IntRange(max = 5000) int waiting) {
        double[] sorted = deadlines.stream().mapToDouble(d -> d).sorted().toArray();
        double lines = budget.linesPerBind(0, sorted, 0, 0, waiting);
        double sent = waiting;
        for (double deadline : sorted) {
            sent += Math.max(0, lines);
            assertTrue(lines <= 0 || sent / 4 + 500 <= deadline + 1e-6);
        }
    }
}
