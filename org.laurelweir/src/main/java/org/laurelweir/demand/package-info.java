/**
 * What a request demands of a backend server, and how long a backend server takes for it: tokens to
 * prefill and to hold, output, and the speeds that a router learns from its own calls. Used where
 * requests compete for the memory of the engines.
 */
package org.laurelweir.demand;
