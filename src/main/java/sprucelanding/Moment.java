package sprucelanding;

/** What was ordered at one moment: lines booked before it and by it, its messages, and those known to be in force. */
final class Moment {
    final double before;
    final double cost;
    final int messages;
    int told;

    Moment(double before, double cost, int messages) {
        this.before = before;
        this.cost = cost;
        this.messages = messages;
    }
}
