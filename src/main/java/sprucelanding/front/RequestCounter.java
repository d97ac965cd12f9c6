package sprucelanding.front;

import java.util.ArrayList;
import java.util.List;

/** Request counts of one load report, by request class. Not thread-safe. */
public final class RequestCounter {
    private final List<String> classNames;
    private final long[] counts;

    /**
     * Creates a counter with 0 requests of each class.
     *
     * @param classNames names of the request classes, in the order of the result
     */
    public RequestCounter(List<String> classNames) {
        this.classNames = classNames;
        this.counts = new long[classNames.size()];
    }

    /** Returns whether requests of a class are counted. */
    public boolean isKnown(String className) {
        return classNames.contains(className);
    }

    /** Adds requests of a class; requests of an unknown class are ignored. */
    public void add(String className, long requests) {
        int index = classNames.indexOf(className);
        if (index >= 0) {
            counts[index] += requests;
        }
    }

    /** Returns the counts in the order of the class names. */
    public List<Long> counts() {
        List<Long> result = new ArrayList<>();
        for (long count : counts) {
            result.add(count);
        }
        return result;
    }
}
