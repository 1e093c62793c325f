/**
 * Reads a program's YAML settings file into a record. The record's components, with their types and
 * annotations, are the specification of the file; all faults of a file are reported together, each
 * with its line.
 */
package org.laurelweir.runtime.config;
