package org.laurelweir.direct;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;
import org.laurelweir.placement.ChatKey;

/**
 * Tells from which other backend server the one that was chosen should fetch the shared parts of a
 * prompt. Needed where a request goes past the server that holds them: when that one is full or
 * leaves, and when a server has joined and ranks first for parts that it has never read.
 */
final class FetchSource {
    /**
     * Shared tokens from which on a fetch pays. To set one up takes an engine about 3 ms, in which
     * it reads some 150 tokens; below twice that nothing is gained.
     */
    private static final int MIN_SHARED_TOKENS = 300;

    /** Servers that are asked by rank: the former home, and another one where that has failed. */
    private static final int MAX_RANKED_SERVERS = 3;

    private final BackendSource mBackends;
    private final ServerTable mServers;
    private final PartHolders mHolders;

    FetchSource(BackendSource source, ServerTable servers, PartHolders holders) {
        mBackends = source;
        mServers = servers;
        mHolders = holders;
    }

    /**
     * Returns the address of a server to fetch from, or empty where there is nothing to fetch.
     *
     * @param r the request
     * @param chosen the server that will run it
     */
    String addressFor(ActiveRequest r, BackendRef chosen, Instant now) {
        Prompt prompt = r.mRequest.prompt();
        if (!prompt.isPresent() || prompt.sharedTokens() < MIN_SHARED_TOKENS) {
            return "";
        }
        PartHolders.Holders holders = mHolders.of(prompt.sharedPart().id());
        if (holders.contains(chosen)) {
            return "";
        }
        for (BackendRef holder : possibleHolders(r, holders)) {
            if (!holder.id().equals(chosen.id()) && isUsable(r, holder, now)) {
                return mBackends.backend(holder.id()).address();
            }
        }
        return "";
    }

    /**
     * Known holders come first. Other routers send prompts with this part to the first in rank, so
     * that it likely holds it even where this router has seen nobody read it. One that is leaving
     * counts: where it ranks first, the part is still there and nowhere else.
     */
    private List<BackendRef> possibleHolders(ActiveRequest r, PartHolders.Holders holders) {
        List<BackendRef> order = new ArrayList<>(holders.servers());
        ChatKey key = r.mRequest.prompt().key();
        mBackends
                .view(r.mService)
                .rankingWithDraining()
                .top(key, MAX_RANKED_SERVERS)
                .forEach(c -> order.add(c.ref()));
        return order;
    }

    /**
     * A server that just failed, or that is not there any more, is not asked: a fetch from a dark
     * one would hold the request up.
     */
    private boolean isUsable(ActiveRequest r, BackendRef holder, Instant now) {
        Backend known = mBackends.backend(holder.id());
        return known != null
                && known.ref().equals(holder)
                && !mServers.isUnreliable(r.mService, holder, now);
    }
}
