/** The gRPC services of a control instance, and its calls to other control instances. */
package org.laurelweir.control.rpc;
