/**
 * Typed configuration records in the manner of CUE, for configurations, scenarios and experiments.
 *
 * <p>Reading takes four steps, with one class per step. {@link
 * sprucelanding.config.records.SourceParser} parses texts into syntax trees (ANTLR, {@code
 * Records.g4}). {@link sprucelanding.config.records.RecordReader} evaluates the files of a package
 * to values. {@link sprucelanding.config.records.Unifier} unifies the values with the definition
 * that they must meet. {@link sprucelanding.config.records.RecordBinder} binds the result to Java
 * records. Other packages call {@link sprucelanding.config.records.Records}.
 *
 * <p>Faults name the file, line, column and field. All faults of a read are collected, so that one
 * run reports all of them. Inputs are limited in size, nesting, references, imports and items of
 * comprehensions. Objects keep state for one read only and are used by one thread.
 */
package sprucelanding.config.records;
