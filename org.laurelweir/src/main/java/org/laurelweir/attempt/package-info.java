/**
 * Attempts to run a request on a backend server: the request that a router sends to a sidecar, and
 * the frames in which the sidecar returns the answer.
 */
package org.laurelweir.attempt;
