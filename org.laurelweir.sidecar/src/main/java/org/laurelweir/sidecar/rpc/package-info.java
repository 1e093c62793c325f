/** The gRPC side of a sidecar: attempt streams, unary calls, and exchanges with control. */
package org.laurelweir.sidecar.rpc;
