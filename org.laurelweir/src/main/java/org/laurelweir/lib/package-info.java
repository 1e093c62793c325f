/** Identifiers, result codes and the reducer contract that every other package builds on. */
package org.laurelweir.lib;
