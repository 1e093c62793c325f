package org.laurelweir.benchmarks.measure.fleet;

import org.agrona.collections.Int2ObjectHashMap;

/** An engine's prefix cache: tokens of each chat's history, the least recently used out first. */
public final class PrefixCache {
    private final long mCapacity;
    private final Int2ObjectHashMap<Entry> mEntries = new Int2ObjectHashMap<>();

    /** Ends of the order of use: its next is the least recently used entry. */
    private final Entry mEnds = new Entry(-1);

    private long mUsed;

    PrefixCache(long capacity) {
        mCapacity = capacity;
    }

    /** Returns how many tokens of a chat are cached; asking is not a use. */
    public int peek(int chat) {
        Entry e = mEntries.get(chat);
        return e == null ? 0 : e.mTokens;
    }

    /** Keeps a chat's history as the most recently used. */
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
        e.linkBefore(mEnds);
        while (mUsed > mCapacity && mEnds.mNext != e) {
            evict(mEnds.mNext);
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
