package sprucelanding.control.delivery;

import java.util.ArrayDeque;

/** Times at which updates were sent to one proxy, in ms on the host's clock, oldest first. */
final class MessageWindow {
    private final ArrayDeque<Double> sendTimes = new ArrayDeque<>();

    void add(double sentAt) {
        sendTimes.add(sentAt);
    }

    /** Returns the number of updates sent since the given time, and discards earlier times. */
    int countSince(double start) {
        while (!sendTimes.isEmpty() && sendTimes.peek() < start) {
            sendTimes.poll();
        }
        return sendTimes.size();
    }
}
