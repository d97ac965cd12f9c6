/**
 * The running governor. One event loop, whose thread waits on a selector, owns the core, notifies
 * the core of events and carries out the core's decisions. Fronts communicate with proxies on their
 * own threads: they submit notifications through bounded queues and receive updates. The core never
 * waits for a front, a disk or the log. {@link sprucelanding.runtime.governor.Governor} connects
 * these parts.
 *
 * <p>Threads: "core" (the event loop, owned by Governor), "keep" (stores the endpoint list, owned
 * by EndpointListFile), "peers-files" (reads keys and stores the highest epoch, owned by PeerLink).
 */
package sprucelanding.runtime.governor;
