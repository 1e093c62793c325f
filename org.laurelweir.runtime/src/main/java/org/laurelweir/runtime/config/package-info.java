/**
 * Reads a program's YAML settings file into a record. The record's components, with their types and
 * annotations, are the specification of the file; every fault is reported at once with its line.
 */
package org.laurelweir.runtime.config;
