package org.laurelweir.admission;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * How many tokens of each chat the backend server likely has cached, for the chats that it answered
 * last. A guess: the backend server's cache events come late and with gaps. One that is wrong costs
 * a misjudged load until the attempt ends, never an answer.
 *
 * <p>Bounded by tokens as the backend server's cache is: a history that is gone there but still
 * counted here makes the work of its next turn look a tenth of what it is.
 */
final class CachedChats {
    private final int mMaxChats;
    private final Map<Long, Integer> mTokens = new LinkedHashMap<>(16, 0.75f, true);
    private long mMaxTokens = Long.MAX_VALUE;
    private long mTotalTokens;

    /**
     * Creates an empty table.
     *
     * @param maxChats most chats; the one unused for longest goes first
     */
    CachedChats(int maxChats) {
        mMaxChats = maxChats;
    }

    /** Sets the most tokens over all chats; a chat that has more on its own is kept alone. */
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
        Iterator<Integer> eldest = mTokens.values().iterator();
        while (mTokens.size() > 1 && (mTokens.size() > mMaxChats || mTotalTokens > mMaxTokens)) {
            mTotalTokens -= eldest.next();
            eldest.remove();
        }
    }

    boolean contains(long chat) {
        return mTokens.containsKey(chat);
    }

    /** Returns the tokens cached, or 0. */
    int tokens(long chat) {
        return mTokens.getOrDefault(chat, 0);
    }
}
