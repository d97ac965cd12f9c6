package sprucelanding;

import java.util.BitSet;

/** What a host can be told to do. Times are ms on the host's clock. */
public interface Orders {
    int RETRY_NEVER = 0;
    int RETRY_UNRUN = 1;
    int RETRY_ANY = 2;

    /** Sets a replica's weight in a table; 0 removes its line. */
    void line(int table, Replica replica, double weight);

    /** Removes all lines and levels of a table. */
    void clear(int table);

    /** Shuts a replica out of every table that joined proxies hold, or lets it back in. */
    void withdraw(Replica replica, boolean out);

    /** Sets how much of a product a table's proxies let in, and when they try again. */
    void level(int table, Product product, double letIn, int retry);

    /** Puts a joined proxy on a table for the products at these positions. */
    void bind(int table, Proxy proxy, BitSet products);

    /** Each proxy that gets a message of this moment says, by the number, when it is in force. */
    void receipt(int serial);

    void probe(Replica replica);

    /** Sends at most 256 bytes to every peer; they may be lost. */
    void tellPeers(byte[] note);

    /** Subscribes to changes of the list. */
    void watchList();

    void timer(int tag, double at);

    void log(String text);
}
