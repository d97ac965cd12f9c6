/**
 * Checks the rules from what crossed the sockets: stand-ins write down what they saw on a tape, and
 * after the day the judge reads it. Nothing here comes from a governor's own word.
 */
package sprucelanding.simulation.rules;
