package sprucelanding.control.membership;

import java.util.List;

/**
 * A sign of life of a governor, with the states of the sender and of some other members.
 *
 * @param sender the governor that sends the heartbeat
 * @param view the state of the sender first, then the states of some other members
 */
public record Heartbeat(int sender, List<MemberState> view) implements PeerMessage {
    @Override
    public void deliverTo(Handler handler) {
        handler.handleHeartbeat(this);
    }
}
