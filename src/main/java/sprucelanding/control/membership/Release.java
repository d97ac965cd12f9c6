package sprucelanding.control.membership;

import java.util.List;

/**
 * A message in which a governor gives up proxies, sent after its last write to them.
 *
 * @param sender the governor that gives up the proxies
 * @param generation the sender's generation
 * @param claims the proxies, each with the highest epoch that the sender gives up
 */
public record Release(int sender, long generation, List<Claim> claims) implements PeerMessage {
    @Override
    public void deliverTo(Handler handler) {
        handler.handleRelease(this);
    }
}
