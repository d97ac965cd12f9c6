/**
 * Checks the rules that staff write beside their configuration: the governor's own core in virtual
 * time, fed by what a fleet of stand-ins would tell if traffic went by the tables, without any
 * traffic. No I/O but the reading of files.
 */
package sprucelanding.simulation.expectation;
