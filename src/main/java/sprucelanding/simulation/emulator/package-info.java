/**
 * Plays a scripted day in virtual time: clients, plain proxies, replicas, links and a roster as the
 * project models them, around the very core that governs in service. One thread; the same script
 * and settings give the same day, to the last bit.
 */
package sprucelanding.simulation.emulator;
