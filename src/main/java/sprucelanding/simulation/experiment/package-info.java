/**
 * Experiments in virtual time: scenarios x settings x seeds, run on several threads, stored with
 * the text of their settings, compared in pairs with confidence intervals, and drawn; and a search
 * for the faults on which a setting loses most.
 */
package sprucelanding.simulation.experiment;
