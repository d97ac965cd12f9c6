/**
 * Typed configuration records in the manner of CUE, for configurations, scenarios and experiments.
 *
 * <p>Reading takes these steps, each of a class of its own: {@link
 * sprucelanding.config.records.SourceParser} turns texts into syntax trees (ANTLR, {@code
 * Records.g4}), {@link sprucelanding.config.records.RecordReader} evaluates the files of a package
 * to values, {@link sprucelanding.config.records.Unifier} unifies them with the definition that
 * they must meet, {@link sprucelanding.config.records.RecordBinder} makes Java records of the
 * result. {@link sprucelanding.config.records.Records} is the entry point of other packages.
 *
 * <p>Faults name file, line, column and field and are collected, so that one run shows all of them.
 * Inputs are bounded (size, nesting, references, imports, items of comprehensions). Classes keep
 * state for one read only and are used by one thread.
 */
package sprucelanding.config.records;
