/**
 * Keeps what was ordered for the routing tables, and decides from it what each connected proxy is
 * to be sent.
 *
 * <p>Three states of a table are told apart. <em>Desired</em> is what the modules of {@link
 * sprucelanding.control.decision} want; it is not visible here. <em>Ordered</em> is what they have
 * passed to their output so far: {@link sprucelanding.control.distribution.TableDistributor} keeps
 * that for each table, and the difference to what each proxy was sent. <em>Acknowledged</em> is
 * what a proxy has confirmed to have applied; the host passes that to the controller directly.
 *
 * <p>A host reports which proxies join and leave and passes on the orders of one batch. Then it
 * flushes, which gives at most one {@link sprucelanding.control.distribution.ProxyUpdate} for each
 * connected proxy, with the lines that it costs in the channel.
 *
 * <p>Nothing here does I/O, reads a clock or starts a thread. The classes are not synchronized: one
 * thread calls them.
 */
package sprucelanding.control.distribution;
