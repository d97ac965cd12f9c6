package sprucereview2;

import com.eclipsesource.json.JsonObject;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** Checks the rules on what proxies, replicas and discovery have seen. */
final class Judge {
    /** Slack for chance in the work that a cold replica is sent. */
    private static final double CHANCE = 1.1;

    private final Fleet fleet;
    private final Map<String, Integer> broken = new LinkedHashMap<>();
    private final Map<String, Double> fallen = new HashMap<>();
    private int mostMessages;
    private double longestBare;
    private double latestDrain;
    private double highestColdLoad;

    /** Requests to a replica that has ended, later than the grace allows. */
    private int lostRequests;

    Judge(Fleet fleet) {
        this.fleet = fleet;
    }

    private synchronized void breaks(String rule, String format, Object... values) {
        int count = broken.merge(rule, 1, Integer::sum);
        if (count <= 40) {
            fleet.record.line("BROKEN " + rule + ": " + format, values);
        }
    }

    /** A proxy has read a message; so many came within the span, counted from its joining. */
    synchronized void messages(Proxy proxy, int recent) {
        mostMessages = Math.max(mostMessages, recent);
        if (recent > fleet.plan.messageLimit && fleet.plan.messageLimit > 0) {
            breaks("messages", "proxy %d read %d within the span", proxy.number, recent);
        }
    }

    void queue(Governor governor, int waiting) {
        if (waiting > fleet.plan.queueCap) {
            breaks("queue", "%d lines wait at governor %d", waiting, governor.number);
        }
    }

    /** A proxy sends a request to a replica. */
    void sent(Proxy proxy, int requestClass, String uid) {
        Governor governor = proxy.joinedTo;
        if (governor == null) {
            return;
        }
        Double told = fleet.discoveryOf(governor).toldLeft.get(uid);
        if (told == null) {
            return;
        }
        double from = Math.max(Math.max(told, proxy.joinedAt), governor.firstAnswer + 1000);
        double since = Recorder.now() - from;
        synchronized (this) {
            latestDrain = Math.max(latestDrain, since);
        }
        if (since > fleet.plan.drainGrace + fleet.plan.slack) {
            boolean isLost = !fleet.replicas.get(uid).isUp();
            synchronized (this) {
                lostRequests += isLost ? 1 : 0;
            }
            breaks(
                    "drain",
                    "proxy %d sends %s to %s %.0f ms after governor %d was told (or it joined);"
                            + " it has read %d messages in the span",
                    proxy.number,
                    fleet.plan.classes[requestClass],
                    uid,
                    since,
                    governor.number,
                    proxy.recentMessages());
        }
    }

    /** Called every 20 ms. */
    void step() {
        double now = Recorder.now();
        for (Proxy proxy : fleet.proxies) {
            for (int c = 0; c < proxy.bareSince.length; c++) {
                checkBare(proxy, c, now);
            }
        }
        for (Replica replica : fleet.replicas.values()) {
            checkCold(replica, now);
        }
    }

    private void checkBare(Proxy proxy, int requestClass, double now) {
        Governor governor = proxy.joinedTo;
        boolean owed =
                governor != null
                        && now > governor.firstAnswer + 1000
                        && !proxy.hasLine(requestClass)
                        && hasOpenReplica(governor, proxy, requestClass);
        if (!owed) {
            proxy.bareSince[requestClass] = Double.POSITIVE_INFINITY;
            return;
        }
        double since = Math.min(proxy.bareSince[requestClass], now);
        proxy.bareSince[requestClass] = since;
        longestBare = Math.max(longestBare, now - since);
        if (now - since > fleet.plan.unservedMost + fleet.plan.slack) {
            proxy.bareSince[requestClass] = now;
            breaks(
                    "bare",
                    "proxy %d has had no line for %s for %.0f ms at governor %d; %s",
                    proxy.number,
                    fleet.plan.classes[requestClass],
                    now - since,
                    governor.number,
                    proxy.holdings(requestClass));
        }
    }

    private boolean hasOpenReplica(Governor governor, Proxy proxy, int requestClass) {
        for (JsonObject entry : fleet.discoveryOf(governor).told.values()) {
            boolean isOpen =
                    !fleet.plan.homeOnly[requestClass]
                            || entry.getString("az", "").equals(proxy.zone);
            boolean isReady = entry.getString("state", "").equals("ready");
            double boot = entry.getDouble("boot_ms", 0);
            boolean isWarm = System.currentTimeMillis() - boot >= fleet.plan.warmAfter;
            if (isOpen && isReady && isWarm) {
                return true;
            }
        }
        return false;
    }

    /**
     * A cold replica falls over if it is sent too much. The rule is broken if two thirds came from
     * proxies whose last message was sent with knowledge of the start, or whose governor had known
     * of the start for the grace.
     */
    private void checkCold(Replica replica, double now) {
        double span = fleet.plan.fallSpan + fleet.plan.slack;
        boolean isCold = replica.isUp() && !replica.isWarm() && now - span > replica.startedAt();
        if (!isCold || fallen.containsKey(replica.uid)) {
            return;
        }
        Replica.Span sent = replica.over(span);
        if (sent.knowingShare() < 2.0 / 3) {
            return;
        }
        highestColdLoad = Math.max(highestColdLoad, sent.multiple());
        if (sent.multiple() > fleet.plan.tipMultiple * CHANCE) {
            fallen.put(replica.uid, now);
            breaks(
                    "cold",
                    "%s was sent %.1f times what it could do within %.0f ms (%.0f%% with knowledge"
                            + " of its start), %.0f ms after its start",
                    replica.uid,
                    sent.multiple(),
                    span,
                    100 * sent.knowingShare(),
                    now - replica.startedAt());
        }
    }

    /** Returns whether a proxy acts with its governor's knowledge of a replica's last start. */
    boolean isKnowing(Proxy proxy, String uid) {
        Governor governor = proxy.joinedTo;
        Double told = governor == null ? null : fleet.discoveryOf(governor).toldStart.get(uid);
        return told != null
                && (proxy.lastMessageAt > told
                        || Recorder.now() - told > fleet.plan.drainGrace + fleet.plan.slack);
    }

    void governorEnded(Governor governor) {
        breaks("crash", "governor %d has ended or does not answer", governor.number);
    }

    /**
     * Records the result.
     *
     * @param rules the rules that are judged; all of them if none is named
     * @return 1 if one of them was broken, else 0
     */
    synchronized int result(String... rules) {
        for (Governor governor : fleet.governors) {
            fleet.record.line(
                    "governor %d: at most %d lines waited", governor.number, governor.channel.most());
        }
        fleet.record.line(
                "at most: %d messages in the span; %.0f ms without a line; %.0f ms from being told"
                        + " to the last request; %.2f times what a cold replica could do",
                mostMessages, longestBare, latestDrain, highestColdLoad);
        fleet.record.line(
                "%d requests went to replicas that had ended, later than the grace", lostRequests);
        fleet.record.line("broken: %s", broken);
        System.out.printf(
                "broken: %s; messages %d, bare %.0f ms, drain %.0f ms, lost %d, cold %.2f%n",
                broken, mostMessages, longestBare, latestDrain, lostRequests, highestColdLoad);
        for (String rule : rules) {
            if (broken.containsKey(rule)) {
                return 1;
            }
        }
        return rules.length > 0 || broken.isEmpty() ? 0 : 1;
    }

}
