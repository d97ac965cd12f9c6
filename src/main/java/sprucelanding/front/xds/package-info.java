/**
 * The xDS v3 front. Serves both variants of the aggregated discovery service, state of the world
 * and incremental, and the load reporting service. Follows the xDS protocol (versions, nonces,
 * acknowledgements, initial_resource_versions, wildcard subscriptions). Messages are those of the
 * published API.
 *
 * <p>Threads: gRPC's transport threads read requests, and wait until the core has accepted each
 * notification. The writer threads of {@link sprucelanding.front.xds.XdsFront} encode and write
 * responses. The same writer thread does all writes to one proxy.
 */
package sprucelanding.front.xds;
