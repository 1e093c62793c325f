/**
 * gRPC between the programs: servers, a pool of channels, the threads that serve both, and counters
 * of the bytes on the wire.
 */
package org.laurelweir.runtime.rpc;
