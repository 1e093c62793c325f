package org.laurelweir.admission;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * An estimate of how many tokens of each recently answered chat the backend server has cached. It
 * is not exact, since the backend server's cache events arrive late and with gaps. A wrong estimate
 * misjudges the load until the attempt ends, but never changes an answer.
 *
 * <p>The total of tokens is bounded like the backend server's cache. If an evicted history still
 * counted as cached, the work of the chat's next turn would be estimated at a tenth of its real
 * value.
 */
final class CachedChats {
    private final int mMaxChats;
    private final Map<Long, Integer> mTokens = new LinkedHashMap<>(16, 0.75f, true);
    private long mMaxTokens = Long.MAX_VALUE;
    private long mTotalTokens;

    /**
     * Creates an empty table.
     *
     * @param maxChats maximum number of chats; the least recently used chat is evicted first
     */
    CachedChats(int maxChats) {
        mMaxChats = maxChats;
    }

    /**
     * Sets the maximum number of tokens over all chats. A single chat with more tokens is kept as
     * the only one.
     */
    void setMaxTokens(long maxTokens) {
        mMaxTokens = maxTokens;
        evict();
    }

    void put(long chat, int tokens) {
        Integer previous = mTokens.put(chat, tokens);
        mTotalTokens += tokens - (previous == null ? 0 : previous);
        evict();
    }

    private void evict() {
        Iterator<Integer> leastRecentlyUsed = mTokens.values().iterator();
        while (mTokens.size() > 1 && (mTokens.size() > mMaxChats || mTotalTokens > mMaxTokens)) {
            mTotalTokens -= leastRecentlyUsed.next();
            leastRecentlyUsed.remove();
        }
    }

    boolean contains(long chat) {
        return mTokens.containsKey(chat);
    }

    /** Returns how many tokens of the chat are cached, or 0. */
    int tokens(long chat) {
        return mTokens.getOrDefault(chat, 0);
    }
}
