package org.laurelweir.benchmarks.ranking;

import java.util.List;
import org.laurelweir.placement.Candidate;
import org.laurelweir.placement.ChatKey;

/** Ranks backend servers for a chat. */
@FunctionalInterface
public interface Ranker {
    /**
     * Returns the servers that rank first, best first.
     *
     * @param chat the chat
     * @param k maximum number of servers
     */
    List<Candidate> top(ChatKey chat, int k);
}
