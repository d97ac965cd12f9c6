package sprucelanding.control.membership;

import java.util.List;

/**
 * Proxies that a governor gives up, after its last write to them.
 *
 * @param sender the governor that gives them up
 * @param generation its generation
 * @param claims the proxies, each with the epoch up to which the sender gives it up
 */
public record Release(int sender, long generation, List<Claim> claims) implements PeerMessage {
    @Override
    public void deliverTo(Handler handler) {
        handler.handleRelease(this);
    }
}
