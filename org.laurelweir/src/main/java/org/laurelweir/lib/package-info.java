/**
 * Identifiers, result codes, decision records and the interfaces of reducers and services, which
 * all other packages use.
 */
package org.laurelweir.lib;
