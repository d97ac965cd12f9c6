package sprucelanding.control.decision;

import java.util.Collection;
import java.util.function.ToDoubleFunction;

/**
 * Sums of floating-point values, added in iteration order. Unlike {@code DoubleStream.sum()}, the
 * additions are not compensated for rounding errors, so that the same events lead to the same
 * decisions to the last bit.
 */
final class SequentialSum {
    private SequentialSum() {}

    /** Returns the sum of the values that the function assigns to the items. */
    static <T> double of(Collection<T> items, ToDoubleFunction<T> value) {
        double sum = 0;
        for (T item : items) {
            sum += value.applyAsDouble(item);
        }
        return sum;
    }
}
