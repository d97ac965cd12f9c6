package sprucelanding.rules;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** What was seen, from all threads; bounded, and it says when it overflowed. */
public final class Tape {
    private final int most;
    private final ConcurrentLinkedQueue<Seen> all = new ConcurrentLinkedQueue<>();
    private final AtomicInteger size = new AtomicInteger();

    public Tape(int most) {
        this.most = most;
    }

    public void saw(Seen what) {
        if (size.incrementAndGet() <= most) {
            all.add(what);
        }
    }

    public boolean overflowed() {
        return size.get() > most;
    }

    /** In the order of their times. */
    public List<Seen> inOrder() {
        List<Seen> list = new ArrayList<>(all);
        list.sort(Comparator.comparingDouble(Seen::at));
        return list;
    }
}
