package org.laurelweir.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * One process's view of the backend servers of a service. Immutable; a delta creates a new view.
 * That costs time in proportion to the service's size, once per membership change and never per
 * request. Views with the same members rank alike, whatever the order in which they learned of
 * them. Used by one thread only.
 */
public final class ServiceView {
    /** Maximum number of departed backend servers that a view remembers, the most recent first. */
    public static final int MAX_DEPARTED = 64;

    private final String mService;
    private final long mVersion;
    private final NavigableMap<String, Candidate> mMembers;
    private final List<Candidate> mDeparted;
    private final Ranking mRanking;
    private Ranking mRankingWithDraining;

    private ServiceView(
            String service,
            long version,
            NavigableMap<String, Candidate> members,
            List<Candidate> departed) {
        mService = service;
        mVersion = version;
        mMembers = Collections.unmodifiableNavigableMap(members);
        mDeparted = departed;
        mRanking = Ranking.of(members.values().stream().filter(c -> !c.draining()).toList());
    }

    /** Returns the view of a service without known backend servers. */
    public static ServiceView empty(String service) {
        return new ServiceView(service, 0, new TreeMap<>(), List.of());
    }

    /**
     * Returns the view after some changes.
     *
     * @param version the version that the changes lead to, in the order of the control log
     * @param changes applied in their order; several at once cost no more than one
     * @return the new view, or this one if {@code version} is not higher than its own: a late delta
     *     never moves a view back
     */
    public ServiceView apply(long version, Collection<? extends ViewChange> changes) {
        if (version <= mVersion) {
            return this;
        }
        NavigableMap<String, Candidate> members = new TreeMap<>(mMembers);
        Deque<Candidate> departed = new ArrayDeque<>(mDeparted);
        for (ViewChange c : changes) {
            applyOne(c, members, departed);
        }
        while (departed.size() > MAX_DEPARTED) {
            departed.removeLast();
        }
        return new ServiceView(mService, version, members, List.copyOf(departed));
    }

    private static void applyOne(
            ViewChange change, NavigableMap<String, Candidate> members, Deque<Candidate> departed) {
        if (change instanceof ViewChange.Join join) {
            departed.removeIf(d -> d.id().equals(join.id()));
            members.put(join.id(), join.candidate());
            return;
        }
        if (change instanceof ViewChange.Drain drain) {
            members.computeIfPresent(drain.id(), (id, c) -> c.withDraining());
            return;
        }
        Candidate removed = members.remove(change.id());
        if (removed != null) {
            departed.addFirst(removed);
        }
    }

    public String service() {
        return mService;
    }

    /** Returns the version of the last change in the view; 0 means that nothing is known. */
    public long version() {
        return mVersion;
    }

    /** Returns the number of known backend servers, the draining ones included. */
    public int size() {
        return mMembers.size();
    }

    /** Returns all backend servers, sorted by name. */
    public List<Candidate> candidates() {
        return new ArrayList<>(mMembers.values());
    }

    /**
     * Returns one backend server.
     *
     * @param id its name
     * @return the candidate, or null if the view does not contain it
     */
    public Candidate candidate(String id) {
        return mMembers.get(id);
    }

    /** Returns the most recently departed backend servers, the most recent first. */
    public List<Candidate> departed() {
        return mDeparted;
    }

    /**
     * Returns the ranking of all backend servers, the draining ones included. It tells which server
     * was a chat's home before the first of them started to drain. Created on the first call.
     */
    public Ranking rankingWithDraining() {
        if (mRankingWithDraining == null) {
            boolean hasDraining = mMembers.values().stream().anyMatch(Candidate::draining);
            mRankingWithDraining = hasDraining ? Ranking.of(mMembers.values()) : mRanking;
        }
        return mRankingWithDraining;
    }

    /** Returns the ranking of the backend servers that accept new requests. */
    public Ranking ranking() {
        return mRanking;
    }
}
