/**
 * The decisions of a sidecar: which attempts its backend server runs and in what order, the state
 * of each attempt, and the locations of the chats whose home it is. A chat's home is the backend
 * server that ranks first for it; its location is the server that has its history cached.
 */
package org.laurelweir.admission;
