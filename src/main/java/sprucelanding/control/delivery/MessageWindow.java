package sprucelanding.control.delivery;

import java.util.ArrayDeque;

/** Times at which responses were sent to one proxy, ms on the host's clock, oldest first. */
final class MessageWindow {
    private final ArrayDeque<Double> sendTimes = new ArrayDeque<>();

    void add(double sentAt) {
        sendTimes.add(sentAt);
    }

    /** Responses sent since; earlier ones are forgotten. */
    int countSince(double start) {
        while (!sendTimes.isEmpty() && sendTimes.peek() < start) {
            sendTimes.poll();
        }
        return sendTimes.size();
    }
}
