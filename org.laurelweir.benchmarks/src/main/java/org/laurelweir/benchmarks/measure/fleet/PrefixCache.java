package org.laurelweir.benchmarks.measure.fleet;

import org.agrona.collections.Int2ObjectHashMap;

/** An engine's prefix cache: the tokens of each chat's history, with LRU eviction. */
public final class PrefixCache {
    private final long mCapacity;
    private final Int2ObjectHashMap<Entry> mEntries = new Int2ObjectHashMap<>();

    /** Sentinel of the circular list; its next entry is the least recently used one. */
    private final Entry mSentinel = new Entry(-1);

    private long mUsed;

    PrefixCache(long capacity) {
        mCapacity = capacity;
    }

    /** Returns how many tokens of a chat are cached. This does not count as a use. */
    public int peek(int chat) {
        Entry e = mEntries.get(chat);
        return e == null ? 0 : e.mTokens;
    }

    /**
     * Stores a chat's history as the most recently used entry and evicts others over the capacity.
     */
    public void put(int chat, int tokens) {
        Entry e = mEntries.get(chat);
        if (e == null) {
            e = new Entry(chat);
            mEntries.put(chat, e);
        } else {
            e.unlink();
        }
        mUsed += tokens - e.mTokens;
        e.mTokens = tokens;
        e.linkBefore(mSentinel);
        while (mUsed > mCapacity && mSentinel.mNext != e) {
            evict(mSentinel.mNext);
        }
    }

    private void evict(Entry e) {
        e.unlink();
        mEntries.remove(e.mChat);
        mUsed -= e.mTokens;
    }

    private static final class Entry {
        private final int mChat;
        private int mTokens;
        private Entry mPrevious = this;
        private Entry mNext = this;

        Entry(int chat) {
            mChat = chat;
        }

        void unlink() {
            mPrevious.mNext = mNext;
            mNext.mPrevious = mPrevious;
        }

        void linkBefore(Entry other) {
            mNext = other;
            mPrevious = other.mPrevious;
            mPrevious.mNext = this;
            other.mPrevious = this;
        }
    }
}
