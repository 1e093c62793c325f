/** The gRPC side of a sidecar: streams of attempts, single calls, and exchanges with control. */
package org.laurelweir.sidecar.rpc;
