/**
 * The files of the replicated log: segments of checksummed records, the term and vote, and
 * snapshots. All data that a storage call wrote is synced before the call returns, except for the
 * commit mark.
 */
package org.laurelweir.control.storage;
