/**
 * What backend servers hold, by their own word, and how that reaches every router. A router calls a
 * given backend server seldom; what it is not told, it must not take for nothing.
 */
package org.laurelweir.load;
