/**
 * gRPC between the programs: servers, a pool of connections, the threads that serve both, and the
 * count of what they cost on the wire.
 */
package org.laurelweir.runtime.rpc;
