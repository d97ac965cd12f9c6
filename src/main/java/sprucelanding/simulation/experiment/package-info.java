/**
 * Experiments: days x settings x seeds in virtual time, on all cores, kept in a store with the text
 * of their settings, compared in pairs with intervals, and drawn; and a search for the day on which
 * a setting loses most.
 */
package sprucelanding.simulation.experiment;
