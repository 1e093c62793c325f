/**
 * What a sidecar decides: which attempts its backend server takes, in what order, what each one's
 * state is, and where the chats whose home it is sit.
 */
package org.laurelweir.admission;
