/**
 * The xDS v3 front: the aggregated discovery service, state of the world and delta, and the load
 * reporting service, as the xDS protocol has them (versions, nonces, acknowledgements,
 * initial_resource_versions, wildcard). Messages come from the published API. Streams are read in
 * the transport's threads, answers are written by one thread of the front.
 */
package sprucelanding.front.xds;
