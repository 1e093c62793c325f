/**
 * Loads of the backend servers. Routers report their requests in flight to control, control adds
 * them up and returns a load digest, and each router estimates the load of every backend server
 * from it. A router calls a single backend server seldom, so it must not take an unknown load for
 * none.
 */
package org.laurelweir.load;
