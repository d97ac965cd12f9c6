package sprucelanding.delivery;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Tables as ordered, shared by all proxies: lines and levels by table, and the replicas shut out of all. */
final class Catalogue {
    static final class Sheet {
        final int number;
        final Map<Long, Integer> lines = new TreeMap<>();
        /** By product: what is let in, and the retry mode. */
        final Map<Integer, double[]> levels = new TreeMap<>();

        Sheet(int number) {
            this.number = number;
        }
    }

    private static final double ALL = 1e6;
    private final Map<Integer, Sheet> sheets = new TreeMap<>();
    final Set<Long> withdrawn = new HashSet<>();

    Sheet sheet(int number) {
        return sheets.computeIfAbsent(number, Sheet::new);
    }

    void clear(int number) {
        sheets.remove(number);
    }

    /** The line as a proxy on this table should hold it; null for none. A withdrawn one drains where it is held. */
    Item.Line line(int table, long replica, boolean held) {
        Integer weight = sheet(table).lines.get(replica);
        boolean out = withdrawn.contains(replica);
        return weight == null || out && !held ? null : new Item.Line(replica, weight, out);
    }

    List<Item.Line> lines(int table) {
        List<Item.Line> lines = new ArrayList<>();
        sheet(table).lines.forEach((replica, weight) -> {
            if (!withdrawn.contains(replica)) {
                lines.add(new Item.Line(replica, weight, false));
            }
        });
        return lines;
    }

    Item.Rule rule(int product, int table) {
        double[] level = sheet(table).levels.get(product);
        return new Item.Rule(product, table, level == null ? ALL : level[0], level == null ? 0 : (int) level[1]);
    }
}
