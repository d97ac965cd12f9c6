/**
 * The running governor: one thread on a selector owns the core, tells it what happens and carries
 * out what it decides. Fronts, which speak with proxies on threads of their own, hand over through
 * bounded queues and are handed updates; the core never waits for one of them, nor for a disk or
 * the log. {@link sprucelanding.runtime.governor.Governor} puts it together.
 *
 * <p>Threads: "core" (the event loop, owned by Governor), "keep" (stores the endpoint list, owned
 * by EndpointListFile), "peers-files" (reads keys and stores the highest epoch, owned by PeerLink).
 */
package sprucelanding.runtime.governor;
