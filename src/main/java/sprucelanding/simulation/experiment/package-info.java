/**
 * Experiments in virtual time. The trials of an experiment are all combinations of its scenarios,
 * settings and seeds. Trials run on several threads, and their results are stored with the text of
 * the setting. Settings are compared in pairs with confidence intervals, and results are drawn as
 * charts. A search finds the faults under which a setting loses most service.
 */
package sprucelanding.simulation.experiment;
