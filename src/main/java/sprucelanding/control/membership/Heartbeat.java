package sprucelanding.control.membership;

import java.util.List;

/**
 * Tells that its sender lives, and what it knows of some of the others.
 *
 * @param sender the governor that sends it
 * @param view the sender itself first, then some of the others
 */
public record Heartbeat(int sender, List<MemberState> view) implements PeerMessage {
    @Override
    public void deliverTo(Handler handler) {
        handler.handleHeartbeat(this);
    }
}
