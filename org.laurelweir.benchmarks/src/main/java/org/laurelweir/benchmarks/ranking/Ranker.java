package org.laurelweir.benchmarks.ranking;

import java.util.List;
import org.laurelweir.placement.Candidate;
import org.laurelweir.placement.ChatKey;

/** A way of ranking backend servers for a chat. */
@FunctionalInterface
public interface Ranker {
    /**
     * Returns the first in rank.
     *
     * @param chat the chat
     * @param k how many at most
     */
    List<Candidate> top(ChatKey chat, int k);
}
