/** What the programs share to call each other by gRPC. */
package org.laurelweir.runtime.rpc;
