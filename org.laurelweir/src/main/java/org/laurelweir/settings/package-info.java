/**
 * The settings tree, which operators edit and all programs apply: its keys, nodes, versions and
 * changes, the inheritance of values, and the formats in which values are written.
 */
package org.laurelweir.settings;
