/**
 * Stands in for a day in service: a script of troubles played on stand-ins and real governors over
 * loopback sockets, judged from what crossed them; and the measurements that need such a fleet. All
 * figures are of a simulated fleet.
 */
package sprucelanding.simulation.scenario;
