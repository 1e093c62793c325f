/**
 * The settings tree that operators edit and every program obeys: its keys, nodes, versions, changes
 * and the rules by which a value is inherited; and the units in which values are written.
 */
package org.laurelweir.settings;
