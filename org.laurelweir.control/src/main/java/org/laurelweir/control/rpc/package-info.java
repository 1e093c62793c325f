/** What a control instance serves by gRPC, and what it asks of its peers. */
package org.laurelweir.control.rpc;
