package sprucelanding.control.decision;

import java.util.BitSet;

/** What a host can be told to do. Times are ms on the host's clock. */
public interface ControllerOutput {
    int RETRY_NEVER = 0;
    int RETRY_IF_NOT_EXECUTED = 1;
    int RETRY_ALWAYS = 2;

    /** Sets a replica's weight in a table; 0 removes its line. */
    void setWeight(int table, Endpoint endpoint, double weight);

    /** Removes all lines and levels of a table. */
    void clearTable(int table);

    /** Shuts a replica out of every table that joined proxies hold, or lets it back in. */
    void setEjected(Endpoint endpoint, boolean out);

    /** Sets how much of a product a table's proxies let in, and when they try again. */
    void setAdmission(int table, RequestClass requestClass, double letIn, int retry);

    /** Puts a joined proxy on a table for the products at these positions. */
    void bindProxy(int table, Proxy proxy, BitSet products);

    /** Each proxy that gets a message of this moment says, by the number, when it is in force. */
    void requestAcknowledgement(int serial);

    void checkHealth(Endpoint endpoint);

    /** Sends at most 256 bytes to every peer; they may be lost. */
    void sendToPeers(byte[] note);

    /** Subscribes to changes of the list. */
    void watchEndpointList();

    void setTimer(int tag, double at);

    void log(String text);
}
