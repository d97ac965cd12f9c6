package sprucelanding.control.decision;

import java.lang.reflect.Array;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Finds figures in the state of a controller that no decision may be based on. */
public final class StateFigures {
    /** Fields that are infinite where there is no such time, deadline or limit. */
    private static final Set<String> MAY_BE_INFINITE =
            Set.of(
                    "affordableTableSize",
                    "deadline",
                    "drainGrace",
                    "dueAt",
                    "earliestEnd",
                    "grace",
                    "lastAcknowledgementTime",
                    "lastAdmissionTime",
                    "lastAllocationTime",
                    "lastBatchTime",
                    "lastBookingTime",
                    "lastCheckReportAt",
                    "lastCompletedAt",
                    "lastEntryTime",
                    "lastLoadReportAt",
                    "lastPlanTime",
                    "lastRoundTime",
                    "nextAttempt",
                    "nextDeadline",
                    "refusedAt",
                    "removalDeadline",
                    "removalWait",
                    "removedAt",
                    "timerAt");

    private static final String PACKAGE = "sprucelanding.";

    private record Node(Object value, String path, boolean mayBeInfinite) {}

    private StateFigures() {}

    /** Returns the paths and values of all figures that are NaN, or infinite without a meaning. */
    public static List<String> invalidFiguresOf(Object root) {
        List<String> invalid = new ArrayList<>();
        Set<Object> visited = Collections.newSetFromMap(new IdentityHashMap<>());
        Deque<Node> pending = new ArrayDeque<>(List.of(new Node(root, "controller", false)));
        while (!pending.isEmpty()) {
            Node node = pending.pop();
            if (node.value instanceof Double number) {
                boolean isValid =
                        Double.isFinite(number) || node.mayBeInfinite && !Double.isNaN(number);
                if (!isValid) {
                    invalid.add(node.path + " = " + number);
                }
            } else if (node.value != null && visited.add(node.value)) {
                addParts(node, pending);
            }
        }
        return invalid;
    }

    private static void addParts(Node node, Deque<Node> pending) {
        Object value = node.value;
        if (value instanceof Map<?, ?> map) {
            map.forEach((key, item) -> push(pending, node, key));
            map.forEach((key, item) -> push(pending, node, item));
        } else if (value instanceof Iterable<?> items) {
            items.forEach(item -> push(pending, node, item));
        } else if (value.getClass().isArray()) {
            for (int i = 0; i < Array.getLength(value); i++) {
                push(pending, node, Array.get(value, i));
            }
        } else if (value.getClass().getName().startsWith(PACKAGE) && !value.getClass().isEnum()) {
            addFields(node, pending);
        }
    }

    private static void push(Deque<Node> pending, Node parent, Object item) {
        pending.push(new Node(item, parent.path + "[]", parent.mayBeInfinite));
    }

    private static void addFields(Node node, Deque<Node> pending) {
        for (Class<?> type = node.value.getClass(); type != null; type = type.getSuperclass()) {
            for (Field field : type.getDeclaredFields()) {
                if (!Modifier.isStatic(field.getModifiers()) && !field.isSynthetic()) {
                    pending.push(
                            new Node(
                                    read(field, node.value),
                                    node.path + "." + field.getName(),
                                    MAY_BE_INFINITE.contains(field.getName())));
                }
            }
        }
    }

    private static Object read(Field field, Object owner) {
        try {
            field.setAccessible(true);
            return field.get(owner);
        } catch (IllegalAccessException e) {
            throw new AssertionError(e);
        }
    }
}
