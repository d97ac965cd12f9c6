package sprucelanding.runtime.server;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import sprucelanding.control.decision.HealthCheckResult;

/**
 * Discovery, proxies and one governor at a time, on a virtual clock. The governor can be restarted
 * from its last list. What each proxy holds is checked against what discovery has told the
 * governor.
 */
final class VirtualFleet {
    static final List<String> REQUEST_CLASSES = List.of("browse", "order", "near");

    /** The request class that stays in the proxy's zone. */
    private static final String OWN_ZONE_CLASS = "near";

    private static final int INITIAL_ENDPOINTS = 6;
    private static final double STEP_MS = 250;
    private static final double REPORT_INTERVAL_MS = 1000;
    private static final double GRACE_MS = 4000;

    /** Time within which a joined proxy has a line, and is told that an endpoint has returned. */
    private static final double RESTORATION_MS = 7800;

    /** The decision interval and the steps of this model. */
    private static final double SLACK_MS = 2 * STEP_MS;

    private record Listing(String state, long bootMillis, double sinceMillis) {}

    final Map<Integer, ModelProxy> proxies = new LinkedHashMap<>();
    private final Map<Integer, Listing> listings = new LinkedHashMap<>();
    private final Map<Integer, Double> joinedAt = new LinkedHashMap<>();
    private final Map<String, Double> violationSince = new LinkedHashMap<>();
    private VirtualGovernor governor;
    private int revision = 40;
    private double nowMillis;
    private double governorReadyAt;

    VirtualFleet(int endpoints, int proxyCount) {
        for (int number = 1; number <= endpoints; number++) {
            listings.put(number, new Listing("ready", 0, 0));
        }
        for (int id = 0; id < proxyCount; id++) {
            proxies.put(id, newProxy(id));
        }
        startGovernor();
    }

    /** Creates a proxy whose initial tables have the first endpoints of its zone. */
    private static ModelProxy newProxy(int id) {
        String zone = id % 2 == 0 ? "north" : "south";
        ModelProxy proxy = new ModelProxy(id, zone, REQUEST_CLASSES);
        for (int number : endpointsOf(zone, INITIAL_ENDPOINTS)) {
            REQUEST_CLASSES.forEach(name -> proxy.setInitialEntry(name, "e-" + number));
        }
        return proxy;
    }

    /** Replaces a proxy by a new process, which has only its initial tables. */
    void restartProxy(int id) {
        leave(id);
        proxies.put(id, newProxy(id));
    }

    /** Starts a governor with the current list, if none is running. */
    void startGovernor() {
        if (governor != null) {
            return;
        }
        governor =
                new VirtualGovernor(
                        uid -> isUp(uid) ? HealthCheckResult.OK : HealthCheckResult.UNREACHABLE,
                        nowMillis);
        governor.controller.configureKeptEjections();
        governor.controller.configureHeldUpdates();
        governor.updateListener = (proxy, line) -> proxies.get(proxy).apply(line);
        governor.applyList(fullList(), ListOrigin.LAST_RUN);
        governor.applyList(fullList(), ListOrigin.DISCOVERY);
        governorReadyAt = nowMillis;
    }

    /** Ends the governor and all streams. */
    void stopGovernor() {
        governor = null;
        joinedAt.clear();
    }

    void join(int proxy) {
        if (governor != null) {
            ModelProxy model = proxies.get(proxy);
            governor.joinProxy(proxy, model.zone, 20, model.isWithoutTables());
            joinedAt.put(proxy, nowMillis);
        }
    }

    void joinAll() {
        proxies.keySet().stream().filter(id -> !joinedAt.containsKey(id)).forEach(this::join);
    }

    void leave(int proxy) {
        if (joinedAt.remove(proxy) != null) {
            governor.removeProxy(proxy);
        }
    }

    void leaveZone(String zone) {
        proxies.values().stream().filter(p -> p.zone.equals(zone)).forEach(p -> leave(p.id));
    }

    /** Changes the state of endpoints; an endpoint that becomes ready has just been started. */
    void list(String state, boolean isRestarted, List<Integer> numbers) {
        for (int number : numbers) {
            long boot = listings.get(number).bootMillis;
            listings.put(
                    number, new Listing(state, isRestarted ? wallClockMillis() : boot, nowMillis));
        }
        revision++;
        if (governor != null) {
            String[] entries = numbers.stream().map(this::entry).toArray(String[]::new);
            governor.applyList(
                    VirtualGovernor.list(revision, false, entries), ListOrigin.DISCOVERY);
        }
    }

    static List<Integer> endpointsOf(String zone, int endpoints) {
        List<Integer> numbers = new ArrayList<>();
        for (int number = zone.equals("north") ? 2 : 1; number <= endpoints; number += 2) {
            numbers.add(number);
        }
        return numbers;
    }

    private long wallClockMillis() {
        return (long) (VirtualGovernor.START_MS + nowMillis);
    }

    private String entry(int number) {
        Listing listing = listings.get(number);
        return VirtualGovernor.entry(number, listing.state, listing.bootMillis);
    }

    private String fullList() {
        String[] entries =
                listings.keySet().stream()
                        .filter(number -> !listings.get(number).state.equals("gone"))
                        .map(this::entry)
                        .toArray(String[]::new);
        return VirtualGovernor.list(revision, true, entries);
    }

    private boolean isUp(String uid) {
        return !listings.get(number(uid)).state.equals("gone");
    }

    private static int number(String uid) {
        return Integer.parseInt(uid.substring(uid.indexOf('-') + 1));
    }

    /** Lets time pass, with reports once a second, and checks what the proxies hold. */
    void run(double millis) {
        for (double end = nowMillis + millis; nowMillis < end; ) {
            nowMillis += STEP_MS;
            if (governor != null) {
                governor.advance(STEP_MS);
                if (nowMillis % REPORT_INTERVAL_MS == 0) {
                    reportLoad();
                }
                governor.decide();
                checkProxies();
            } else {
                violationSince.clear();
            }
        }
    }

    private void reportLoad() {
        listings.forEach(
                (number, listing) -> {
                    if (listing.state.equals("ready") && governor.isKnownEndpoint("e-" + number)) {
                        governor.reportStats("e-" + number, 30, 0, 40, 0.5);
                    }
                });
        joinedAt.keySet()
                .forEach(proxy -> governor.controller.demandReported(proxy, proxy % 3, 25, 1000));
    }

    /** Checks that no violation lasts longer than its limit at a joined proxy. */
    private void checkProxies() {
        Map<String, Double> limits = new LinkedHashMap<>();
        joinedAt.keySet().forEach(id -> findViolations(proxies.get(id), limits));
        violationSince.keySet().retainAll(limits.keySet());
        limits.forEach(
                (violation, limit) -> {
                    double since = violationSince.computeIfAbsent(violation, key -> nowMillis);
                    if (nowMillis - since > limit + SLACK_MS) {
                        throw new AssertionError(
                                violation + " since " + since + " ms, now " + nowMillis);
                    }
                });
    }

    private void findViolations(ModelProxy proxy, Map<String, Double> limits) {
        Set<String> available = uidsIn("ready");
        Set<String> shutOut = new TreeSet<>(proxy.ejected());
        shutOut.retainAll(available);
        shutOut.forEach(
                uid -> limits.put("proxy " + proxy.id + " shuts out " + uid, RESTORATION_MS));
        for (String requestClass : REQUEST_CLASSES) {
            Set<String> selectable = proxy.selectable(requestClass);
            Set<String> removed = new TreeSet<>(selectable);
            removed.removeAll(available);
            removed.forEach(
                    uid ->
                            limits.put(
                                    "proxy " + proxy.id + " sends " + requestClass + " to " + uid,
                                    GRACE_MS));
            boolean hasAvailable =
                    available.stream().anyMatch(uid -> serves(uid, proxy, requestClass));
            if (selectable.isEmpty() && hasAvailable) {
                limits.put(
                        "proxy " + proxy.id + " has no line for " + requestClass, RESTORATION_MS);
            }
        }
    }

    private static boolean serves(String uid, ModelProxy proxy, String requestClass) {
        String zone = number(uid) % 2 == 0 ? "north" : "south";
        return !requestClass.equals(OWN_ZONE_CLASS) || zone.equals(proxy.zone);
    }

    private Set<String> uidsIn(String state) {
        return listings.entrySet().stream()
                .filter(listing -> listing.getValue().state.equals(state))
                .map(listing -> "e-" + listing.getKey())
                .collect(Collectors.toSet());
    }
}
