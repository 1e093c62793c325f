/**
 * The replicated log's files: segments of checksummed records, the term and vote, snapshots. What a
 * call has returned from is synced.
 */
package org.laurelweir.control.storage;
