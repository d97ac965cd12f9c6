package sprucelanding.platform;

import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.LinkedHashSet;
import java.util.Set;
import sprucelanding.loop.Loop;

/** Where proxies and collectors connect. Whoever has not joined in time is refused, and the oldest of them where room is short. */
final class Door {
    private static final int BACKLOG = 1024;
    private static final double JOINS = 1200; // ms for a connection to join
    private static final double LOOKS = 100; // ms
    private static final int OWN = 40; // descriptors of the program itself, and some to spare

    private final Loop loop;
    private final Desk desk;
    private final Said said;
    private final int proxies;
    private final int sockets;
    /** Connections that have not joined, oldest first. */
    private final Set<Visitor> strangers = new LinkedHashSet<>();
    private int open;
    private long refused;
    private long spoilt;
    private long refusedSaid;
    private long spoiltSaid;

    /** Proxies are numbered below that; sockets are the descriptors that the process may hold. */
    Door(Loop loop, Desk desk, Said said, int proxies, int sockets) {
        this.loop = loop;
        this.desk = desk;
        this.said = said;
        this.proxies = proxies;
        this.sockets = sockets;
    }

    /** Throws UncheckedIOException if it cannot listen there. */
    void opens(InetSocketAddress at) {
        loop.listen(at, BACKLOG, this::accepted);
        loop.every(LOOKS, this::look);
    }

    private void accepted(SocketChannel channel) {
        open++;
        Visitor visitor = new Visitor(this, desk, proxies, Loop.now());
        strangers.add(visitor);
        visitor.conn = loop.adopt(channel, Visitor.UNREAD, visitor);
        while (open + desk.probing() + OWN > sockets && !strangers.isEmpty()) {
            strangers.iterator().next().refuse("no room");
        }
    }

    private void look() {
        double now = Loop.now();
        while (!strangers.isEmpty() && strangers.iterator().next().since < now - JOINS) {
            strangers.iterator().next().refuse("it did not join");
        }
        if (refused - refusedSaid >= 100 || spoilt - spoiltSaid >= 100) {
            said.say(refused + " connections refused, " + spoilt + " messages dropped so far");
            refusedSaid = refused;
            spoiltSaid = spoilt;
        }
    }

    void joined(Visitor visitor) {
        strangers.remove(visitor);
    }

    void refused(Visitor visitor, String why) {
        strangers.remove(visitor);
        if (refused++ == 0) {
            said.say("a connection is refused: " + why);
        }
    }

    void dropped(String why) {
        if (spoilt++ == 0) {
            said.say("a message is dropped: " + why);
        }
    }

    void closed(Visitor visitor) {
        open--;
        strangers.remove(visitor);
    }
}
