package org.laurelweir.waiting;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The requests that wait at a router, of all services. Its count and bytes are bounded.
 *
 * <p>Within a service, higher priorities go first. Within a priority, requests that resume a stream
 * go before new ones, those that can still meet their target before the others, and then client
 * accounts share the capacity: the account with the fewest tokens in flight in proportion to its
 * weight goes first. Its own waiting requests count too, by start tags, because the figures of all
 * routers arrive later than requests do. Every eighth turn goes to the oldest request. An account
 * that exceeds its share waits until no other account waits for the service.
 *
 * @param <T> the type of the waiting requests
 */
public final class WaitingQueue<T> {
    /** Every turn of this number goes to the oldest request. */
    static final int OLDEST_INTERVAL = 8;

    private static final Comparator<Entry<?>> ARRIVAL_ORDER =
            Comparator.comparing((Entry<?> e) -> e.arrival()).thenComparingLong(Entry::sequence);

    private final WaitLimits mLimits;
    private final AccountShares mShares;
    private final List<Entry<T>> mEntries = new ArrayList<>();
    private final Map<String, ServiceTurns> mTurns = new HashMap<>();
    private long mBytes;
    private long mNextSequence;
    private long mEvicted;

    /** The virtual time and the turns of one service. */
    private static final class ServiceTurns {
        private final VirtualTime mTime = new VirtualTime();
        private long mCount;

        boolean isOldestNext() {
            return mCount % OLDEST_INTERVAL == OLDEST_INTERVAL - 1;
        }
    }

    /** A waiting request with its place in the order. */
    private record Entry<T>(WaitingRequest<T> request, Instant arrival, double tag, long sequence)
            implements FairEntry {
        @Override
        public int priority() {
            return request.priority();
        }

        @Override
        public String account() {
            return request.account();
        }

        @Override
        public double weightedWork() {
            return FairEntry.weighted(request.tokens(), request.weight());
        }
    }

    /** Creates an empty queue. */
    public WaitingQueue(WaitLimits limits, AccountShares shares) {
        mLimits = limits;
        mShares = shares;
    }

    /**
     * Adds a request even if the queue exceeds its limits. Then {@link #evictExcess} has to run.
     */
    public void add(WaitingRequest<T> r) {
        double work = FairEntry.weighted(r.tokens(), r.weight());
        double tag = turns(r.service()).mTime.takeTag(r.account(), work);
        Place place = r.place();
        Instant arrival =
                place.firstArrival().isBefore(r.since()) ? place.firstArrival() : r.since();
        mEntries.add(new Entry<>(r, arrival, Math.min(tag, place.tag()), mNextSequence++));
        mBytes += r.bytes();
    }

    /** Removes and returns the requests that exceed the limits of the queue. */
    public List<WaitingRequest<T>> evictExcess() {
        List<Entry<T>> evicted = new ArrayList<>();
        // A body that exceeds the limit alone would evict all others first.
        mEntries.stream().filter(e -> e.request().bytes() > mLimits.bytes()).forEach(evicted::add);
        evicted.forEach(this::drop);
        while (mEntries.size() > mLimits.requests() || mBytes > mLimits.bytes()) {
            Entry<T> e = FairEntry.toEvict(mEntries);
            drop(e);
            evicted.add(e);
        }
        mEvicted += evicted.size();
        return evicted.stream().map(Entry::request).toList();
    }

    /** Removes a request out of turn. Does nothing if it is not in the queue. */
    public void remove(T item) {
        for (Entry<T> e : mEntries) {
            if (e.request().item().equals(item)) {
                drop(e);
                return;
            }
        }
    }

    /** Removes and returns the requests whose wait has ended, in the order of arrival. */
    public List<WaitingRequest<T>> takeExpired(Instant now) {
        List<Entry<T>> expired =
                mEntries.stream().filter(e -> !now.isBefore(e.request().waitEnd())).toList();
        expired.forEach(this::drop);
        return expired.stream().map(Entry::request).toList();
    }

    /**
     * Offers the requests for a service in their order, and removes those that start. A request
     * that can't start does not hold up the next ones: those may fit where it does not.
     *
     * @param mayStart whether a request may start as far as more urgent ones are concerned
     * @param start tries to start a request; returns whether it no longer waits
     * @param maxFailures number of failed tries after which the pass ends
     * @return whether all requests that may start were tried
     */
    public boolean admit(
            Instant now,
            String service,
            Predicate<WaitingRequest<T>> mayStart,
            Predicate<WaitingRequest<T>> start,
            int maxFailures) {
        Set<Long> tried = new HashSet<>();
        List<Entry<T>> order = order(now, service);
        int failures = 0;
        while (failures < maxFailures) {
            Entry<T> next = firstOf(order, tried, mayStart);
            if (next == null) {
                return true;
            }
            tried.add(next.sequence());
            if (start.test(next.request())) {
                onServed(next);
                order = order(now, service);
            } else {
                failures++;
            }
        }
        return false;
    }

    private Entry<T> firstOf(
            List<Entry<T>> order, Set<Long> tried, Predicate<WaitingRequest<T>> mayStart) {
        for (Entry<T> e : order) {
            if (!tried.contains(e.sequence()) && mayStart.test(e.request())) {
                return e;
            }
        }
        return null;
    }

    private void onServed(Entry<T> e) {
        ServiceTurns turns = turns(e.request().service());
        turns.mCount++;
        turns.mTime.onServed(e.tag());
        remove(e);
    }

    /** Returns the requests for a service that may start now, in the order of their turns. */
    private List<Entry<T>> order(Instant now, String service) {
        AccountShares.At shares = mShares.at(now);
        List<Entry<T>> all = new ArrayList<>();
        List<Entry<T>> within = new ArrayList<>();
        for (Entry<T> e : mEntries) {
            if (e.request().service().equals(service)) {
                all.add(e);
                if (!shares.isExceeded(e.account(), e.request().weight())) {
                    within.add(e);
                }
            }
        }
        List<Entry<T>> entries = within.isEmpty() ? all : within;
        ServiceTurns turns = turns(service);
        entries.sort(order(now, shares, turns.mTime.now()));
        if (!entries.isEmpty() && turns.isOldestNext()) {
            Entry<T> oldest = Collections.min(entries, ARRIVAL_ORDER);
            entries.remove(oldest);
            entries.add(0, oldest);
        }
        return entries;
    }

    private Comparator<Entry<T>> order(Instant now, AccountShares.At shares, double virtualTime) {
        return Comparator.comparingInt((Entry<T> e) -> -e.priority())
                .thenComparing(e -> !e.request().resumes())
                .thenComparing(e -> !now.isBefore(e.request().target()))
                .thenComparingDouble(e -> weightedTokens(e, shares, virtualTime))
                .thenComparing(ARRIVAL_ORDER);
    }

    private double weightedTokens(Entry<T> e, AccountShares.At shares, double virtualTime) {
        double inFlight = shares.weightedTokens(e.account(), e.request().weight());
        return inFlight + Math.max(0, e.tag() - virtualTime);
    }

    /**
     * Returns whether an account exceeds its share while a request of another account, which does
     * not, waits for a service.
     */
    public boolean isHeldBack(Instant now, WaitingRequest<T> r) {
        AccountShares.At shares = mShares.at(now);
        return shares.isExceeded(r.account(), r.weight())
                && mEntries.stream()
                        .filter(e -> e.request().service().equals(r.service()))
                        .anyMatch(e -> !shares.isExceeded(e.account(), e.request().weight()));
    }

    /** Returns whether a request waits for a service. */
    public boolean isAwaited(String service) {
        return mEntries.stream().anyMatch(e -> e.request().service().equals(service));
    }

    /**
     * Returns the number of waiting requests that would go before a request that does not wait yet.
     */
    public int countBefore(Instant now, WaitingRequest<T> r) {
        add(r);
        Entry<T> added = mEntries.get(mEntries.size() - 1);
        List<Entry<T>> order = order(now, r.service());
        drop(added);
        int index = order.indexOf(added);
        return index < 0 ? order.size() : index;
    }

    /** Returns the number of requests of at least a priority that wait for a service. */
    public int countAhead(String service, int priority) {
        int count = 0;
        for (Entry<T> e : mEntries) {
            if (e.request().service().equals(service) && e.priority() >= priority) {
                count++;
            }
        }
        return count;
    }

    /** Returns the services that requests wait for. */
    public Set<String> services() {
        Set<String> services = new HashSet<>();
        mEntries.forEach(e -> services.add(e.request().service()));
        return services;
    }

    /** Returns the waiting requests in the order of their arrival at the queue. */
    public List<WaitingRequest<T>> requests() {
        return mEntries.stream().map(Entry::request).toList();
    }

    /** Returns whether a request waits. */
    public boolean contains(T item) {
        return mEntries.stream().anyMatch(e -> e.request().item().equals(item));
    }

    /** Returns the virtual time of a service, which is the place of a request that arrives now. */
    public double virtualTime(String service) {
        return turns(service).mTime.now();
    }

    /** Returns the number of waiting requests. */
    public int size() {
        return mEntries.size();
    }

    /** Returns the number of bytes of the bodies of the waiting requests. */
    public long bytes() {
        return mBytes;
    }

    /** Returns the number of requests that were evicted so far. */
    public long evictedCount() {
        return mEvicted;
    }

    /** Removes a request that was not served. */
    private void drop(Entry<T> e) {
        turns(e.request().service()).mTime.refund(e.account(), e.weightedWork());
        remove(e);
    }

    private void remove(Entry<T> e) {
        if (mEntries.remove(e)) {
            mBytes -= e.request().bytes();
        }
    }

    private ServiceTurns turns(String service) {
        return mTurns.computeIfAbsent(service, s -> new ServiceTurns());
    }
}
