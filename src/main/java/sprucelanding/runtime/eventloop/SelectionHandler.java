package sprucelanding.runtime.eventloop;

import java.io.IOException;
import java.nio.channels.SelectionKey;

/** The attachment of a selection key, which the loop calls when the key's channel is ready. */
interface SelectionHandler {
    void onReady(SelectionKey key) throws IOException;
}
