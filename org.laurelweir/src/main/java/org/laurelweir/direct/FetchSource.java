package org.laurelweir.direct;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;
import org.laurelweir.placement.ChatKey;

/**
 * Finds a backend server from which the chosen one should fetch the shared parts of a prompt. This
 * is needed if the request is not sent to the server that holds the parts: if that server is full
 * or draining, or if a new server ranks first for parts that it has never read.
 */
final class FetchSource {
    /**
     * Minimum length of the shared parts for a fetch. An engine needs about 3 ms to set up a fetch
     * and reads some 150 tokens in that time; below twice as many a fetch saves nothing.
     */
    private static final int MIN_SHARED_TOKENS = 300;

    /** Number of servers considered by rank: the former home, and others in case it has failed. */
    private static final int MAX_RANKED_SERVERS = 3;

    private final BackendSource mBackends;
    private final ServerTable mServers;
    private final PartHolders mHolders;
    private final ServingHistory mHistory;

    FetchSource(
            BackendSource backends,
            ServerTable servers,
            PartHolders holders,
            ServingHistory history) {
        mBackends = backends;
        mServers = servers;
        mHolders = holders;
        mHistory = history;
    }

    /**
     * Returns the address of a server to fetch from, or empty if nothing can or need be fetched.
     *
     * @param r the request
     * @param chosen the server that will run the request
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
        List<BackendRef> possible =
                r.mRequest.terms().contended()
                        ? likelyHolders(r, chosen, holders, now)
                        : possibleHolders(r, holders);
        for (BackendRef holder : possible) {
            if (!holder.id().equals(chosen.id()) && isUsable(r, holder, now)) {
                return mBackends.backend(holder.id()).address();
            }
        }
        return "";
    }

    /**
     * Returns the servers that may hold the shared part, the most likely ones first. Servers that
     * this router has sent the part to come before servers by rank. All routers send prompts with
     * the part to the server that ranks first, so it likely holds the part even if this router has
     * not sent it there. Draining servers are included: if one ranks first, it may be the only one
     * that holds the part.
     */
    private List<BackendRef> possibleHolders(ActiveRequest r, PartHolders.Holders holders) {
        List<BackendRef> possible = new ArrayList<>(holders.servers());
        ChatKey key = r.mRequest.prompt().key();
        mBackends
                .view(r.mService)
                .rankingWithDraining()
                .top(key, MAX_RANKED_SERVERS)
                .forEach(c -> possible.add(c.ref()));
        return possible;
    }

    /**
     * Returns the servers that may hold the shared parts, the most likely ones first, with regard
     * to when each server accepted requests. If the chosen server has ranked first for long, it
     * holds the last shared part, or no server does; then a server that holds the parts before it
     * is asked.
     */
    private List<BackendRef> likelyHolders(
            ActiveRequest r, BackendRef chosen, PartHolders.Holders holders, Instant now) {
        List<BackendRef> likely = new ArrayList<>(holders.servers());
        ChatKey key = r.mRequest.prompt().key();
        if (mHistory.isSettledHome(r.mService, key, chosen, now)) {
            likely.addAll(holdersOfEarlierParts(r));
        }
        mHistory.likelyHolders(r.mService, key, now).stream()
                .limit(MAX_RANKED_SERVERS)
                .forEach(likely::add);
        return likely;
    }

    /** Returns the holders of the longest prefix of shared parts of which this router knows any. */
    private List<BackendRef> holdersOfEarlierParts(ActiveRequest r) {
        List<Long> ids = r.sharedPartIds();
        for (int i = ids.size() - 2; i >= 0; i--) {
            List<BackendRef> known = mHolders.of(ids.get(i)).servers();
            if (!known.isEmpty()) {
                return known;
            }
        }
        return List.of();
    }

    /**
     * Returns whether a server is known, is in a region that may have the request's prompt, has not
     * been restarted since and has not failed recently. A fetch from an unreachable server would
     * delay the request.
     */
    private boolean isUsable(ActiveRequest r, BackendRef holder, Instant now) {
        Backend known = mBackends.backend(holder.id());
        return known != null
                && known.ref().equals(holder)
                && r.mRequest.allowedRegions().allows(known.region())
                && !mServers.isUnreliable(r.mService, holder, now);
    }
}
