package sprucelanding.runtime.eventloop;

import java.io.IOException;
import java.nio.channels.SelectionKey;

/** What a selection key carries: it is called when the key's channel is ready. */
interface SelectionHandler {
    void onReady(SelectionKey key) throws IOException;
}
